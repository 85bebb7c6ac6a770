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

/// A run of a task and the incarnation of a minion that it is assigned to.
struct TaskRun {
    std::uint64_t run = 0;
    std::string minion;
    std::int64_t minionBornUnixMs = 0;
};

/// The stored state of one task.
struct Task {
    std::uint64_t run = 0; ///< of the assigned run, or of the last one that was; runs are numbered from 1
    std::uint64_t lastRun = 0; ///< highest number assigned so far; above run after a copy has ended
    std::uint32_t failures = 0;
    TaskState state = TaskState::Waiting;
    /// The assigned run is known to work in the incarnation that it is assigned to, under a lease of usual length. Any
    /// other run may work in a later incarnation, under the longest lease that a minion grants.
    bool isRunConfirmed = false;
    std::string minion; ///< of run
    std::int64_t minionBornUnixMs = 0;
    std::string checkpoint; ///< reported by the last ended run that had one
    /// A second run whose end isn't recorded: a copy beside run while the task is assigned, or the run that a task
    /// which is done left over. Null for most tasks, so that they don't hold the memory of one.
    std::unique_ptr<TaskRun> other;

    /// \return whether a run is assigned and its end isn't recorded.
    [[nodiscard]] bool isAssigned(std::uint64_t number) const
    {
        return (state == TaskState::Assigned && run == number) || (other && other->run == number);
    }

    /// Calls \p visit with the number, minion id and incarnation time of each assigned run whose end isn't recorded.
    template<class Visit> void forEachAssigned(const Visit &visit) const
    {
        if (state == TaskState::Assigned)
            visit(run, minion, minionBornUnixMs);
        if (other)
            visit(other->run, other->minion, other->minionBornUnixMs);
    }
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
    /// \return whether the end of a run is outstanding, be it of a task that another run has completed.
    [[nodiscard]] bool hasAssignedTasks() const { return assignedRuns_ > 0; }

    /// \return whether assign() may be called with this run.
    [[nodiscard]] bool canAssign(const TaskName &name, std::uint64_t run) const;
    void assign(const TaskName &name, std::uint64_t run, const std::string &minion, std::int64_t bornUnixMs);

    /// Records that the assigned run is known to work where it is assigned; ignored for any other run.
    void confirmRun(const TaskName &name, std::uint64_t run);

    /// \return whether the task of a step may have copies: neither gangs nor long-running steps may.
    [[nodiscard]] static bool allowsCopies(const Wire::JobStep &step);
    /// \return whether assignCopy() may be called with this run.
    [[nodiscard]] bool canAssignCopy(const TaskName &name, std::uint64_t run, const std::string &minion) const;
    /// Assigns a second run beside the one that is assigned already.
    void assignCopy(const TaskName &name, std::uint64_t run, const std::string &minion, std::int64_t bornUnixMs);

    /// Records the end of a run. The first run to end done completes the task; the other one stays assigned until its
    /// end is recorded. Another end of one of two runs leaves the other in place. The end of an earlier run counts only
    /// if it completed the task.
    /// \param maxAttempts number of failures that fail the job
    /// \return whether the task changed; false for the end of a run that a task which is done left over.
    bool end(const Wire::JobEnd &end, std::uint32_t maxAttempts);

    /// \return whether the job was active and is now cancelled.
    bool cancel();

    [[nodiscard]] Wire::JobImage image() const;
    /// \return the job restored from its image.
    static Job fromImage(const Wire::JobImage &image);

private:
    StepRecord *mutableStep(const StepName &name);
    void markDone(StepRecord &record, Task &task);
    /// Keeps the runs assigned that did not complete the task.
    /// \param run the run that did
    void keepOtherRun(Task &task, std::uint64_t run);
    /// Ends one of two runs of a task that is not done.
    void endOneOfTwo(Task &task, std::uint64_t run);
    void countFailure(const Wire::JobStep &spec, StepRecord &record, Task &task, std::uint64_t run,
                      std::uint32_t maxAttempts);
    void completeIfDone();

    std::unique_ptr<Wire::JobSubmission> submission_;
    std::vector<StepRecord> steps_; ///< all steps of the first occurrence, then those of the next
    JobPhase phase_ = JobPhase::Active;
    bool hasBegun_ = false;
    std::size_t assignedRuns_ = 0; ///< runs whose end isn't recorded
    std::size_t unfinishedSteps_ = 0;
};

} // namespace Pistachio::Jobs
