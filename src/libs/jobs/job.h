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
    Assigned, ///< assigned to a minion; the run has not ended
    Done,
};

/// The stored state of one task.
struct Task {
    std::uint64_t run = 0; ///< number of the last assignment, starting at 1
    std::uint32_t failures = 0;
    TaskState state = TaskState::Waiting;
    std::string minion; ///< of the last assignment
    std::int64_t minionBornUnixMs = 0;
    std::string checkpoint; ///< reported by the last ended run that had one
};

/// The tasks of one step in one occurrence.
struct StepRecord {
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    std::uint32_t gangFailures = 0;
    std::uint64_t lastFailedRun = 0; ///< so that a gang's run counts as one failure, however many members fail

    [[nodiscard]] bool isDone() const { return done == tasks.size(); }
};

enum class JobPhase : std::uint8_t { Active, Completed, Failed, Cancelled };

/// A job and the state of its tasks. Enforces the order of steps, ascending run numbers and the limit on failures.
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

    /// \return the earliest start of an occurrence in Unix time; 0 if it may start at once.
    [[nodiscard]] std::int64_t dueUnixMs(std::uint32_t occurrence) const;

    /// \return the step, or null if the job has no such step.
    [[nodiscard]] const StepRecord *step(std::uint32_t occurrence, std::uint32_t step) const;
    [[nodiscard]] const Task *task(const TaskName &name) const;

    /// \return whether all steps that the step depends on are done.
    [[nodiscard]] bool areDependenciesDone(std::uint32_t occurrence, std::uint32_t step) const;

    [[nodiscard]] JobPhase phase() const { return phase_; }
    /// \return whether a run is known to have begun. Runs that never started or were lost don't count.
    [[nodiscard]] bool hasBegun() const { return hasBegun_; }
    [[nodiscard]] bool hasAssignedTasks() const { return assignedTasks_ > 0; }

    /// \return whether assign() may be called with this run.
    [[nodiscard]] bool canAssign(const TaskName &name, std::uint64_t run) const;
    void assign(const TaskName &name, std::uint64_t run, const std::string &minion, std::int64_t bornUnixMs);

    /// Records the end of a run. The end of an earlier run counts only if it completed the task.
    /// \param maxAttempts number of failures that fail the job
    /// \return whether anything changed.
    bool end(const Wire::JobEnd &end, std::uint32_t maxAttempts);

    /// \return whether the job was active and is now cancelled.
    bool cancel();

    [[nodiscard]] Wire::JobImage image() const;
    /// \return the job restored from its image.
    static Job fromImage(const Wire::JobImage &image);

private:
    StepRecord *mutableStep(const StepName &name);
    void markDone(StepRecord &record, Task &task);
    void countFailure(const Wire::JobStep &spec, StepRecord &record, Task &task, std::uint64_t run,
                      std::uint32_t maxAttempts);
    void completeIfDone();

    std::unique_ptr<Wire::JobSubmission> submission_;
    std::vector<StepRecord> steps_; ///< all steps of the first occurrence, then those of the next
    JobPhase phase_ = JobPhase::Active;
    bool hasBegun_ = false;
    std::size_t assignedTasks_ = 0;
    std::size_t unfinishedSteps_ = 0;
};

} // namespace Pistachio::Jobs
