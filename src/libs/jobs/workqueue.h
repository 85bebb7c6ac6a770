#pragma once

#include "core/time.h"
#include "jobs/minion.h"
#include "jobs/taskname.h"
#include "jobs/teamusage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Pistachio::Wire
{
class JobQueue;
class JobStep;
} // namespace Pistachio::Wire

namespace Pistachio::Jobs
{

class DurationModel;
class Job;

/// The latest useful start times of a step, given expected run times.
struct StartDeadlines {
    TimePoint latestStart{}; ///< a later start misses the job's latency objective
    TimePoint latestUsefulStart{}; ///< a later start makes the job's result useless
};

/// \param accepted when the job was submitted or its occurrence was due
[[nodiscard]] StartDeadlines startDeadlines(const Job &job, const Wire::JobQueue &queue, const StepName &step,
                                            TimePoint accepted, const DurationModel &durations);

/// Whose a step is.
struct StepOwner {
    TeamNumber team = noTeam;
    bool isBeyondRate = false; ///< its job came faster than the team is owed
    bool isUrgent = false; ///< of a queue with priority 0
};

/// A step that may start, with the tasks that wait for a minion.
struct WaitingStep {
    std::set<std::uint32_t> tasks;
    TimePoint readySince{};
    TimePoint reportedAt{}; ///< when the log last told of its wait
    StartDeadlines deadlines;
    bool isLongRunning = false; ///< its tasks serve continuously, so they are placed before all others
    std::string service;
    StepOwner owner;
    ResourceAmounts demand; ///< of one task
    std::uint32_t together = 1; ///< how many tasks have to start together
};

/// The waiting steps and their start deadlines.
class WorkQueue
{
public:
    /// Adds a waiting task of a step. The deadlines of a step that already waits stay.
    /// \param deadlines when the step must start
    /// \param owner whose job it is
    void add(TimePoint now, const std::string &service, const Wire::JobStep &step, const TaskName &task,
             const StartDeadlines &deadlines, const StepOwner &owner = {});

    /// Replaces the deadlines of a step, if it waits.
    void update(const StepName &step, const StartDeadlines &deadlines);
    /// Records that the log has told of the wait of a step.
    void setReported(const StepName &step, TimePoint now);
    /// \param serviceOf the service whose minions run the tasks of a job
    void updateServices(const std::function<std::string(const std::string &job)> &serviceOf);
    void remove(const TaskName &task);
    void removeJob(const std::string &job);
    void clear() { steps_.clear(); }

    [[nodiscard]] const std::map<StepName, WaitingStep> &steps() const { return steps_; }
    /// \return since when a step waits, or nothing if it doesn't.
    [[nodiscard]] std::optional<TimePoint> readySince(const StepName &step) const;
    [[nodiscard]] bool isWaiting(const TaskName &task) const;

    /// \return the waiting steps of a service; see TeamOrder::sort() for the order in which they are placed.
    [[nodiscard]] std::vector<const std::pair<const StepName, WaitingStep> *> stepsOf(const std::string &service) const;

private:
    std::map<StepName, WaitingStep> steps_;
};

} // namespace Pistachio::Jobs
