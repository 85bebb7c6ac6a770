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
}

namespace Pistachio::Jobs
{

class Job;

/// A step whose turn has come, with the tasks that wait for a minion.
struct WaitingStep {
    std::set<std::uint32_t> tasks;
    TimePoint readySince{};
    TimePoint latestStart{}; ///< a later start misses the job's objective, by the declared estimates
    TimePoint latestUsefulStart{}; ///< a later start earns nothing
    std::uint32_t priority = 0;
    bool lasts = false; ///< its tasks serve all the time, so that each second without them is lost
    std::string service;
};

/// The steps that wait, and when each must start to be of use.
class WorkQueue
{
public:
    /// Adds waiting tasks of a step.
    /// \param accepted when the job was handed in, or its occurrence was due
    void add(TimePoint now, const Job &job, const Wire::JobQueue &queue, const TaskName &task, TimePoint accepted);
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

/// \return the longest chain of estimated run times from \p step to the end of the job.
[[nodiscard]] Duration remainingChain(const Job &job, std::uint32_t step);

/// \return the longest chain of the whole job.
[[nodiscard]] Duration wholeChain(const Job &job);

} // namespace Pistachio::Jobs
