// Reserves capacity for tasks that do not fit yet, and preempts others for them.

#include "jobs/demand.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <utility>
#include <vector>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{
constexpr Duration preemptionThreshold = 1s; ///< preempts only if the wait is longer; a preemption takes about as long
constexpr Duration minSlackOfPreempted = 2s; ///< so that the job of a preempted task still meets its objective
constexpr std::uint32_t maxPreemptions = 2; ///< per task
} // namespace

/// Reserves capacity for large tasks on the minions where they are expected to fit first.
void JobScheduler::reserveCapacity(const WaitingEntry &entry, const Job &job)
{
    const auto requirements = requirementsOf(job, entry.first);
    if (!requirements)
        return;
    std::vector<std::pair<CapacityReservations::ExpectedFit, Minion *>> expectedFits;
    for (auto *minion : eligibleMinions(entry.first, *requirements, Tickets::Known, Room::Later)) {
        if (!isLarge(requirements->demand, minion->capacity()) || reservations_.isReserved(*minion))
            continue;
        if (const auto fit = reservations_.expectedFit(*minion, requirements->demand, now_.time))
            expectedFits.emplace_back(*fit, minion);
    }
    const auto wanted = reservableTasks(entry.second);
    const auto count = std::min<std::size_t>(wanted, expectedFits.size());
    std::partial_sort(expectedFits.begin(), expectedFits.begin() + static_cast<std::ptrdiff_t>(count),
                      expectedFits.end(),
                      [](const auto &left, const auto &right) { return left.first.time < right.first.time; });
    teamUsage_.reserve(entry.second.owner.team, entry.second.demand, static_cast<std::uint32_t>(count));
    for (std::size_t number = 0; number < count; ++number) {
        const auto &[fit, minion] = expectedFits[number];
        reservations_.reserve(*minion, fit);
        if (fit.time > now_.time + preemptionThreshold)
            preemptFor(entry, *requirements, *minion);
    }
}

bool JobScheduler::isPreemptable(const TaskName &task, const Run &run, const WaitingEntry &entry,
                                 const Wire::JobQueue &queue) const
{
    const auto *job = store_.job(task.step.job);
    const auto *other = job ? store_.queue(job->submission().queue()) : nullptr;
    if (!other || other->priority() <= queue.priority() || run.phase != RunPhase::Running)
        return false;
    const auto &step = job->spec(task.step.step);
    if (!step.checkpointing() || step.gang() || step.long_running())
        return false;
    const auto count = preemptions_.find(task);
    if (count != preemptions_.end() && count->second >= maxPreemptions)
        return false;
    return deadlinesOf(*job, *other, task.step).latestStart
        > std::max(now_.time + minSlackOfPreempted, entry.second.deadlines.latestStart);
}

/// Preempts checkpointing tasks of lower-priority queues, so that a large task fits.
void JobScheduler::preemptFor(const WaitingEntry &entry, const StepRequirements &requirements, Minion &minion)
{
    const auto &demand = requirements.demand;
    auto available = minion.freeCapacity();
    std::vector<std::pair<TaskName, Run *>> victims;
    for (auto &[task, run] : minion.runs) {
        if (run.phase == RunPhase::Stopping || run.phase == RunPhase::Ending)
            available += run.reserved;
        else if (isPreemptable(task, run, entry, requirements.queue))
            victims.emplace_back(task, &run);
    }
    // Preempts the tasks with the latest expected end first.
    std::sort(victims.begin(), victims.end(), [this](const auto &left, const auto &right) {
        return CapacityReservations::expectedEnd(*left.second, now_.time)
            > CapacityReservations::expectedEnd(*right.second, now_.time);
    });
    std::size_t needed = 0;
    while (!demand.fitsIn(available) && needed < victims.size())
        available += victims[needed++].second->reserved;
    if (!demand.fitsIn(available))
        return;
    for (std::size_t number = 0; number < needed; ++number) {
        const auto &[task, run] = victims[number];
        ++preemptions_[task];
        ports_.logDecision(LogLevel::Info, "task-preempted",
                           {{"task", task.toString()},
                            {"run", run->run},
                            {"minion", minion.report.incarnation.id},
                            {"percent", run->percent},
                            {"for", entry.first.toString()},
                            {"slack_ms", (entry.second.deadlines.latestStart - now_.time) / 1ms}});
        sendStop(minion, task, *run, StopReason::Preempted);
        reservations_.runsChanged(minion);
    }
}

void JobScheduler::reserveMinions(const WaitingEntry &entry, const Job &job)
{
    const auto requirements = requirementsOf(job, entry.first);
    if (!requirements)
        return;
    // Minions with more free capacity are expected to be free earlier.
    auto candidates = eligibleMinions(entry.first, *requirements, Tickets::Known, Room::Later);
    std::erase_if(candidates,
                  [&](const Minion *minion) { return !fits(*minion, *requirements, entry.first, Room::Later); });
    const auto freeCapacityOf = [](const Minion &minion) {
        const auto available = minion.freeCapacity();
        return available.accelerators * 100'000 + available.milliCores;
    };
    std::stable_sort(candidates.begin(), candidates.end(), [&freeCapacityOf](const auto *left, const auto *right) {
        return freeCapacityOf(*left) > freeCapacityOf(*right);
    });
    const auto wanted = reservableTasks(entry.second);
    std::vector<std::uint32_t> places;
    places.reserve(candidates.size());
    for (const auto *minion : candidates)
        places.push_back(placesOnceFree(*minion, *requirements));
    // What can't start however many runs end has nothing to wait for.
    const auto most = std::accumulate(places.begin(), places.end(), std::uint64_t{0});
    if (std::min<std::uint64_t>(wanted, most) < entry.second.together)
        return;
    teamUsage_.reserve(entry.second.owner.team, entry.second.demand, wanted);
    std::uint32_t covered = 0;
    for (std::size_t number = 0; number < candidates.size() && covered < wanted; ++number) {
        covered += places[number];
        reservations_.reserveWhole(*candidates[number]);
    }
}

} // namespace Pistachio::Jobs
