#include "jobs/workqueue.h"

#include "jobs/demand.h"
#include "jobs/durationmodel.h"
#include "jobs/job.h"

#include <jobs.pb.h>

#include <algorithm>

namespace Pistachio::Jobs
{

namespace
{

constexpr int usefulUntilFactor = 3; ///< a job is useful until this multiple of its objective

/// \return for each step the expected run time of the longest dependency chain from it to the end of the job.
std::vector<Duration> longestChains(const Job &job, std::uint32_t occurrence, const DurationModel &durations)
{
    const auto count = job.stepsPerOccurrence();
    std::vector<Duration> after(count, Duration::zero());
    std::vector<Duration> chain(count, Duration::zero());
    for (std::uint32_t number = count; number-- > 0;) {
        const auto &step = job.spec(number);
        chain[number] = after[number]
            + durations.expected(job.submission().queue(), {job.id(), occurrence, number},
                                 std::chrono::milliseconds(step.estimate_ms()));
        for (const auto earlier : step.depends_on())
            after[earlier] = std::max(after[earlier], chain[number]);
    }
    return chain;
}

} // namespace

StartDeadlines startDeadlines(const Job &job, const Wire::JobQueue &queue, const StepName &step, TimePoint accepted,
                              const DurationModel &durations)
{
    const auto all = longestChains(job, step.occurrence, durations);
    const auto whole = *std::max_element(all.begin(), all.end());
    const auto objective
        = Duration(static_cast<std::int64_t>(static_cast<double>(whole.count()) * std::max(1.0, queue.slack_factor())))
        + Duration(std::chrono::milliseconds(queue.target_latency_ms()));
    const auto remaining = all[step.step];
    return {accepted + objective - remaining, accepted + objective * usefulUntilFactor - remaining};
}

void WorkQueue::add(TimePoint now, const std::string &service, const Wire::JobStep &step, const TaskName &task,
                    const StartDeadlines &deadlines, const StepOwner &owner)
{
    auto &waiting = steps_[task.step];
    if (waiting.tasks.empty()) {
        waiting.readySince = now;
        waiting.deadlines = deadlines;
        waiting.isLongRunning = step.long_running();
        waiting.service = service;
        waiting.owner = owner;
        waiting.demand = demandOf(step);
        waiting.together = step.gang() ? step.tasks() : 1;
    }
    waiting.tasks.insert(task.index);
}

void WorkQueue::update(const StepName &step, const StartDeadlines &deadlines)
{
    const auto found = steps_.find(step);
    if (found != steps_.end())
        found->second.deadlines = deadlines;
}

void WorkQueue::setReported(const StepName &step, TimePoint now)
{
    const auto found = steps_.find(step);
    if (found != steps_.end())
        found->second.reportedAt = now;
}

void WorkQueue::updateServices(const std::function<std::string(const std::string &job)> &serviceOf)
{
    for (auto &[step, waiting] : steps_)
        waiting.service = serviceOf(step.job);
}

void WorkQueue::remove(const TaskName &task)
{
    const auto found = steps_.find(task.step);
    if (found == steps_.end())
        return;
    found->second.tasks.erase(task.index);
    if (found->second.tasks.empty())
        steps_.erase(found);
}

void WorkQueue::removeJob(const std::string &job)
{
    auto entry = steps_.lower_bound({job, 0, 0});
    while (entry != steps_.end() && entry->first.job == job)
        entry = steps_.erase(entry);
}

std::optional<TimePoint> WorkQueue::readySince(const StepName &step) const
{
    const auto found = steps_.find(step);
    return found == steps_.end() ? std::nullopt : std::optional(found->second.readySince);
}

bool WorkQueue::isWaiting(const TaskName &task) const
{
    const auto found = steps_.find(task.step);
    return found != steps_.end() && found->second.tasks.contains(task.index);
}

std::vector<const std::pair<const StepName, WaitingStep> *> WorkQueue::stepsOf(const std::string &service) const
{
    std::vector<const std::pair<const StepName, WaitingStep> *> result;
    for (const auto &entry : steps_) {
        if (entry.second.service == service)
            result.push_back(&entry);
    }
    return result;
}

} // namespace Pistachio::Jobs
