#pragma once

#include "core/time.h"
#include "jobs/taskname.h"

#include <cstdint>
#include <map>
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

/// When a step must start, by the run times that are expected.
struct StartDeadlines {
    TimePoint latestStart{}; ///< a later start misses the job's objective
    TimePoint latestUsefulStart{}; ///< a later start earns nothing
};

/// \param accepted when the job was handed in, or its occurrence was due
[[nodiscard]] StartDeadlines startDeadlines(const Job &job, const Wire::JobQueue &queue, const StepName &step,
                                            TimePoint accepted, const DurationModel &durations);

/// A step whose turn has come, with the tasks that wait for a minion.
struct WaitingStep {
    std::set<std::uint32_t> tasks;
    TimePoint readySince{};
    StartDeadlines deadlines;
    bool isLongRunning = false; ///< its tasks serve all the time, so that each second without them is lost
    std::string service;
};

/// The steps that wait, and when each must start to be of use.
class WorkQueue
{
public:
    /// Adds a waiting task of a step.
    /// \param times when the step must start
    void add(TimePoint now, const std::string &service, const Wire::JobStep &step, const TaskName &task,
             const StartDeadlines &deadlines);

    /// Replaces the times of a step, if it waits.
    void update(const StepName &step, const StartDeadlines &deadlines);
    void remove(const TaskName &task);
    void removeJob(const std::string &job);
    void clear() { steps_.clear(); }

    [[nodiscard]] const std::map<StepName, WaitingStep> &steps() const { return steps_; }
    [[nodiscard]] bool isWaiting(const TaskName &task) const;

    /// \return the waiting steps of a service, the most pressing one first.
    [[nodiscard]] std::vector<const std::pair<const StepName, WaitingStep> *> ordered(TimePoint now,
                                                                                      const std::string &service) const;

private:
    std::map<StepName, WaitingStep> steps_;
};

} // namespace Pistachio::Jobs
