// Room kept for work that does not fit yet, and work stopped to make it.

#include "jobs/demand.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{
constexpr Duration openingAwaited = 1s; ///< stopping work and starting it elsewhere takes about as long
constexpr Duration preemptedSlack = 2s; ///< left to the job of a stopped task, or it would miss its objective
constexpr std::uint32_t mostPreemptions = 2; ///< of one task
} // namespace

/// Keeps room for large tasks where it is expected first.
void JobScheduler::keepRoom(const WaitingEntry &entry, const Job &job)
{
    const auto needs = needsOf(job, entry.first);
    if (!needs)
        return;
    std::vector<std::pair<RoomPlan::Opening, Minion *>> openings;
    for (auto *minion : minionsFor(entry.first, *needs, Tickets::Known)) {
        if (!isLarge(needs->demand, minion->capacity()) || roomPlan_.isKept(minion->report.incarnation.id))
            continue;
        if (const auto opening = RoomPlan::openingFor(*minion, needs->demand, now_.time))
            openings.emplace_back(*opening, minion);
    }
    const auto count = std::min(entry.second.tasks.size(), openings.size());
    std::partial_sort(openings.begin(), openings.begin() + static_cast<std::ptrdiff_t>(count), openings.end(),
                      [](const auto &left, const auto &right) { return left.first.at < right.first.at; });
    for (std::size_t number = 0; number < count; ++number) {
        const auto &[opening, minion] = openings[number];
        roomPlan_.keep(minion->report.incarnation.id, opening);
        if (opening.at > now_.time + openingAwaited)
            preemptFor(entry, *needs, *minion);
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
    if (count != preemptions_.end() && count->second >= mostPreemptions)
        return false;
    return timesOf(*job, *other, task.step).latestStart
        > std::max(now_.time + preemptedSlack, entry.second.times.latestStart);
}

/// Stops work of queues that come later, and can go on from a checkpoint, so that a large task fits at once.
void JobScheduler::preemptFor(const WaitingEntry &entry, const StepNeeds &needs, Minion &minion)
{
    const auto &demand = needs.demand;
    auto room = minion.room();
    std::vector<std::pair<TaskName, Run *>> victims;
    for (auto &[task, run] : minion.runs) {
        if (run.phase == RunPhase::Stopping || run.phase == RunPhase::Ending)
            room += run.reserved;
        else if (isPreemptable(task, run, entry, needs.queue))
            victims.emplace_back(task, &run);
    }
    // Those that would hold the room longest.
    std::sort(victims.begin(), victims.end(), [this](const auto &left, const auto &right) {
        return RoomPlan::expectedEnd(*left.second, now_.time) > RoomPlan::expectedEnd(*right.second, now_.time);
    });
    std::size_t needed = 0;
    while (!demand.fitsIn(room) && needed < victims.size())
        room += victims[needed++].second->reserved;
    if (!demand.fitsIn(room))
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
                            {"slack_ms", (entry.second.times.latestStart - now_.time) / 1ms}});
        sendStop(minion, task, *run);
    }
}

void JobScheduler::reserveFor(const WaitingEntry &entry, const Job &job)
{
    const auto needs = needsOf(job, entry.first);
    if (!needs)
        return;
    // The minions with the most room are free first.
    auto candidates = minionsFor(entry.first, *needs, Tickets::Known);
    const auto roomOf = [](const Minion &minion) {
        const auto room = minion.room();
        return room.accelerators * 100'000 + room.milliCores;
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&roomOf](const auto *left, const auto *right) { return roomOf(*left) > roomOf(*right); });
    const auto &step = needs->step;
    std::uint32_t covered = 0;
    for (const auto *minion : candidates) {
        if (covered >= entry.second.tasks.size())
            return;
        const auto capacity = minion->capacity();
        std::uint32_t here = 0;
        ResourceAmounts sum = needs->demand;
        while (sum.fitsIn(capacity) && here < step.tasks()) {
            ++here;
            sum += needs->demand;
        }
        if (step.max_per_minion() > 0)
            here = std::min(here, step.max_per_minion());
        covered += here;
        reserved_.insert(minion->report.incarnation.id);
    }
}

} // namespace Pistachio::Jobs
