#pragma once

#include "jobs/taskname.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Pistachio::Wire
{
class JobEnd;
class JobImage;
class JobStep;
class JobSubmission;
} // namespace Pistachio::Wire

namespace Pistachio::Jobs
{

enum class TaskState : std::uint8_t {
    Waiting,
    Assigned, ///< has been given to a minion and not ended there
    Done,
};

/// One task as the book holds it.
struct Task {
    std::uint64_t run = 0; ///< of the last assignment; the first one is 1
    std::uint32_t failures = 0;
    TaskState state = TaskState::Waiting;
    std::string minion; ///< of the last assignment
    std::int64_t minionBornUnixMs = 0;
    std::string checkpoint; ///< of the last run that ended
};

/// The tasks of one step in one occurrence.
struct StepRecord {
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    std::uint32_t gangFailures = 0;
    std::uint64_t lastFailedRun = 0; ///< a gang's run counts as failed once

    [[nodiscard]] bool isDone() const { return done == tasks.size(); }
};

enum class JobPhase : std::uint8_t { Active, Completed, Failed, Cancelled };

/// A job with the rules of its life: steps in order, runs that rise, attempts that end.
class Job
{
public:
    explicit Job(const Wire::JobSubmission &submission);
    ~Job();
    Job(Job &&) noexcept;
    Job &operator=(Job &&) noexcept;

    [[nodiscard]] const Wire::JobSubmission &submission() const { return *submission_; }
    [[nodiscard]] const std::string &id() const;
    [[nodiscard]] const Wire::JobStep &spec(std::uint32_t step) const;
    [[nodiscard]] std::uint32_t occurrences() const;
    [[nodiscard]] std::uint32_t stepsPerOccurrence() const;

    /// \return the time from which an occurrence may start; 0: at once.
    [[nodiscard]] std::int64_t dueUnixMs(std::uint32_t occurrence) const;

    /// \return the record, or null for a name that the job does not have.
    [[nodiscard]] const StepRecord *step(std::uint32_t occurrence, std::uint32_t step) const;
    [[nodiscard]] const Task *task(const TaskName &name) const;

    /// \return whether all steps it depends on are done.
    [[nodiscard]] bool areDependenciesDone(std::uint32_t occurrence, std::uint32_t step) const;

    [[nodiscard]] JobPhase phase() const { return phase_; }
    /// \return whether a run is known to have begun: one that ended otherwise than by never starting or getting lost.
    [[nodiscard]] bool hasBegun() const { return hasBegun_; }
    [[nodiscard]] bool hasAssignedTasks() const { return assignedTasks_ > 0; }

    /// \return whether the task can be given that run, so that the caller may assign it.
    [[nodiscard]] bool canAssign(const TaskName &name, std::uint64_t run) const;
    void assign(const TaskName &name, std::uint64_t run, const std::string &minion, std::int64_t born);

    /// Takes note of the end of a run; ends of other runs than the last one count only when they are done.
    /// \param maxAttempts failures after which the job has failed
    /// \return whether anything changed.
    bool end(const Wire::JobEnd &end, std::uint32_t maxAttempts);

    /// \return whether the job was active.
    bool cancel();

    [[nodiscard]] Wire::JobImage image() const;
    /// \return the job of an image.
    static Job fromImage(const Wire::JobImage &image);

private:
    StepRecord *mutableStep(const StepName &name);
    void markDone(StepRecord &record, Task &task);
    void countFailure(const Wire::JobStep &spec, StepRecord &record, Task &task, std::uint64_t run,
                      std::uint32_t maxAttempts);
    void completeIfDone();

    std::unique_ptr<Wire::JobSubmission> submission_;
    std::vector<StepRecord> steps_; ///< occurrence by occurrence
    JobPhase phase_ = JobPhase::Active;
    bool hasBegun_ = false;
    std::size_t assignedTasks_ = 0;
    std::size_t unfinishedSteps_ = 0;
};

} // namespace Pistachio::Jobs
