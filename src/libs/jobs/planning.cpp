// Rounds of planning: which steps are placed, and on which minions.

#include "jobs/demand.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/minionchoice.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{

constexpr std::size_t maxGangReservations = 2; ///< per service; more would leave minions idle
constexpr Duration fullRoundInterval = 60ms;
constexpr std::size_t shortRoundFailures = 16;
constexpr std::size_t maxAdviceRequestsPerRound = 16; ///< so that the steps with the earliest deadlines come first
constexpr double sharedCoresScore = 15; ///< of a minion without idle cores; outweighs locality and speed
constexpr double busyCoresWeight = 2; ///< outweighs the preference for full minions, which is 1

/// \return what is added to the score of a minion without idle cores; the less idle, the more.
double sharedCoresPenalty(const Minion &minion)
{
    const auto idle = minion.freeCapacity().milliCores - minion.spareMilliCoresUsed();
    const auto whole = std::max<std::int64_t>(1, minion.report.milliCores);
    return sharedCoresScore + busyCoresWeight * (1 - static_cast<double>(idle) / static_cast<double>(whole));
}

} // namespace

void JobScheduler::plan()
{
    planNeeded_ = false;
    lastPlan_ = now_.time;
    hasBacklog_ = false;
    isFullRound_ = now_.time >= lastFullPlan_ + fullRoundInterval;
    if (isFullRound_)
        lastFullPlan_ = now_.time;
    teamUsage_.clearReservations();
    Wire::JobCommand command;
    for (const auto &[service, since] : services_) {
        reservations_.clear();
        fastPlaceWait_.beginRound();
        planService(service, command);
    }
    if (command.assignments_size() > 0)
        ports_.propose(std::move(command), {});
}

void JobScheduler::planService(const std::string &service, Wire::JobCommand &command)
{
    // Most rounds stop after a few steps that don't fit, to limit processor time under overload.
    const std::size_t maxFailures = isFullRound_ ? std::numeric_limits<std::size_t>::max() : shortRoundFailures;
    const auto bounds = capacityBounds(service);
    std::size_t failures = 0;
    std::size_t adviceRequests = 0;
    std::size_t reservations = 0;
    // Without teams nothing is split, and the capacity isn't needed.
    const auto capacity = teamUsage_.hasTeams() ? serviceCapacity(service) : ServiceCapacity();
    TeamOrder::RoundResult left;
    auto steps = queue_.stepsOf(service);
    teamOrder_.sort(steps, now_.time, service, capacity.total);
    for (const auto *entry : steps) {
        if (isHeldByCap(entry->second)) {
            reportWaitingStep(*entry, WaitCause::Cap);
            continue;
        }
        const auto *job = store_.job(entry->first.job);
        if (!job)
            continue;
        const StepName name = entry->first;
        const auto &step = job->spec(name.step);
        const bool isGang = step.gang();
        const auto reserved = reservedBy(step);
        const bool canFit = reserved.fitsIn(step.long_running() ? bounds.maxFreeForLongRunning : bounds.maxFree);
        awaitsPlace_ = false;
        const bool placed = canFit && (isGang ? placeGang(*entry, *job, command) : placeStep(*entry, *job, command));
        if (isGang && !placed)
            reportWaitingGang(*entry, *job);
        // A gang whose last run has not fully ended can't be placed yet.
        if (placed || (isGang && entry->second.tasks.size() < step.tasks()) || isHeldByCap(entry->second))
            continue;
        // A step that waits for a better place doesn't lack room.
        if (awaitsPlace_) {
            if (adviceRequests < maxAdviceRequestsPerRound && askAdvice(name, *job))
                ++adviceRequests;
            continue;
        }
        if (teamUsage_.hasTeams())
            recordWait(*entry, *job, canFit, capacity, left);
        hasBacklog_ = hasBacklog_ || failures + 1 >= shortRoundFailures;
        if (++failures > maxFailures) {
            teamOrder_.recordRound(service, left, false);
            crowdedServices_.insert(service);
            return;
        }
        if (adviceRequests < maxAdviceRequestsPerRound && askAdvice(name, *job))
            ++adviceRequests;
        if (entry->second.isLongRunning || (isGang && reservations < maxGangReservations)) {
            reserveMinions(*entry, *job);
            reservations += isGang ? 1 : 0;
        } else if (!isGang && isLarge(reserved, bounds.minCapacity)) {
            reserveCapacity(*entry, *job);
        }
    }
    teamOrder_.recordRound(service, left, true);
    if (failures > 0)
        crowdedServices_.insert(service);
    else
        crowdedServices_.erase(service);
}

StepNeeds JobScheduler::needsOf(const StepRequirements &requirements, const StepName &name) const
{
    const auto &job = *store_.job(name.job);
    const auto waiting = queue_.steps().find(name);
    const bool isWaiting = waiting != queue_.steps().end();
    const auto deadlines = isWaiting ? waiting->second.deadlines : deadlinesOf(job, requirements.queue, name);
    const auto usual = requirements.step.long_running() ? Duration::zero() : expectedRunTime(job, name);
    return {requirements.step, requirements.demand, usual, deadlines.latestStart - now_.time,
            isWaiting ? waiting->second.tasks.size() : 0};
}

Minion *JobScheduler::bestMinion(std::span<Minion *const> minions, const StepRequirements &requirements,
                                 const TaskName &task, const std::string &rack)
{
    const auto needs = needsOf(requirements, task.step);
    const MinionChoice choice(needs, now_.time, minions);
    const bool mayShare = mayShareCores(requirements.step, task.step);
    Minion *best = nullptr;
    auto bestScore = std::numeric_limits<double>::max();
    for (auto *minion : minions) {
        if (!fits(*minion, requirements, task.step, Room::Now) || !reservations_.allows(*minion, requirements.demand)
            || minion->runs.contains(task) || (!rack.empty() && !minion->hasLabel(rack)))
            continue;
        const bool isIdle = hasIdleCores(*minion, requirements.step);
        if (!isIdle && !mayShare)
            continue;
        const double score = choice.score(*minion) + (isIdle ? 0 : sharedCoresPenalty(*minion));
        if (score < bestScore) {
            bestScore = score;
            best = minion;
        }
    }
    const auto &dataRack = requirements.step.data_rack();
    const bool isRemote = best && !dataRack.empty() && !best->hasLabel(dataRack);
    if (isRemote && settings_.remotePenalty > 1 && !requirements.step.gang() && !requirements.step.long_running()
        && waitsForNearMinion(requirements, needs, task))
        return nullptr;
    const bool mayWait = best && differInSpeed_ && !requirements.step.gang() && choice.gainsBySpeed(*best);
    return mayWait && waitsForFasterMinion(requirements, needs, task, *best) ? nullptr : best;
}

bool JobScheduler::waitsForFasterMinion(const StepRequirements &requirements, const StepNeeds &needs,
                                        const TaskName &task, const Minion &best)
{
    const auto candidates = eligibleMinions(task.step, requirements, Tickets::Valid, Room::Later);
    const auto waited = now_.time - queue_.readySince(task.step).value_or(now_.time);
    const auto *better = fastPlaceWait_.betterMinion(needs, best, candidates, reservations_, now_.time, waited);
    if (better) {
        awaitsPlace_ = true;
        ports_.logDecision(LogLevel::Debug, "task-awaits-minion",
                           {{"task", task.toString()},
                            {"minion", better->report.incarnation.id},
                            {"slowness_percent", std::lround(better->speed.slowness * 100)},
                            {"free", best.report.incarnation.id},
                            {"free_slowness_percent", std::lround(best.speed.slowness * 100)},
                            {"expected_ms", needs.usual / 1ms},
                            {"slack_ms", needs.slack / 1ms},
                            {"waited_ms", waited / 1ms}});
    }
    return better != nullptr;
}

void JobScheduler::place(const Job &job, const TaskName &task, std::uint64_t run, Minion &minion,
                         Wire::JobCommand &command)
{
    const auto &step = job.spec(task.step.step);
    Run planned;
    planned.run = run;
    planned.reserved = reservedBy(step);
    planned.spareMilliCores = spareMilliCoresOf(step);
    planned.phaseSince = now_.time;
    planned.plannedAt = now_.time;
    planned.awaitsRecord = step.long_running();
    planned.readyAt = queue_.readySince(task.step).value_or(now_.time);
    planned.expected = expectedRunTime(job, task.step, minion);
    minion.add(task, planned);
    countRun(job, task, run);
    reservations_.consume(minion, planned.reserved);
    auto &assignment = *command.add_assignments();
    fill(*assignment.mutable_task(), task);
    assignment.set_run(run);
    assignment.set_minion(minion.report.incarnation.id);
    assignment.set_minion_born_unix_ms(minion.report.incarnation.bornUnixMs);
}

bool JobScheduler::placeStep(const WaitingEntry &entry, const Job &job, Wire::JobCommand &command)
{
    const StepName name = entry.first;
    const auto requirements = requirementsOf(job, name);
    if (!requirements)
        return false;
    const auto minions = eligibleMinions(name, *requirements, Tickets::Valid, Room::Now);
    if (minions.empty())
        return false;
    const auto waiting = entry.second.tasks;
    const auto allowed = teamUsage_.allowedTasks(entry.second.owner.team, entry.second.demand,
                                                 static_cast<std::uint32_t>(waiting.size()));
    const auto since = entry.second.readySince;
    const auto slack = entry.second.deadlines.latestStart - now_.time;
    std::size_t placed = 0;
    std::string where;
    for (const auto index : waiting) {
        const TaskName task{name, index};
        // The last placement may have brought the team to its cap.
        auto *minion = allowed > placed ? bestMinion(minions, *requirements, task, {}) : nullptr;
        if (!minion)
            break;
        place(job, task, job.task(task)->lastRun + 1, *minion, command);
        queue_.remove(task);
        where += (placed == 0 ? "" : " ") + std::to_string(index) + '@' + minion->report.incarnation.id;
        ++placed;
    }
    if (placed > 0) {
        ports_.logDecision(LogLevel::Info, "tasks-assigned",
                           {{"step", name.toString()},
                            {"tasks", placed},
                            {"of", waiting.size()},
                            {"placed", where},
                            {"configuration", store_.configuration().version()},
                            {"waited_ms", (now_.time - since) / 1ms},
                            {"slack_ms", slack / 1ms}});
    }
    if (placed == waiting.size())
        prefetchAdvice(job, name);
    return placed == waiting.size();
}

bool JobScheduler::placeGang(const WaitingEntry &entry, const Job &job, Wire::JobCommand &command)
{
    const StepName name = entry.first;
    const auto &tasks = job.step(name.occurrence, name.step)->tasks;
    const auto waiting = entry.second.tasks;
    // A gang is restarted only once all members of its last run have ended.
    if (waiting.size() < tasks.size())
        return false;
    std::uint64_t run = 0;
    for (const auto &task : tasks)
        run = std::max(run, task.run);
    const auto requirements = requirementsOf(job, name);
    if (!requirements)
        return false;
    const auto minions = eligibleMinions(name, *requirements, Tickets::Valid, Room::Now);
    if (minions.empty())
        return false;
    std::vector<std::string> racks{std::string()};
    if (requirements->step.same_rack()) {
        std::set<std::string> racksOfMinions;
        for (const auto *minion : minions) {
            if (!minion->report.labels.empty())
                racksOfMinions.insert(minion->rack());
        }
        racks.insert(racks.begin(), racksOfMinions.begin(), racksOfMinions.end());
    }
    const bool spreadCostsTime = requirements->step.same_rack() && tasks.size() > 1 && settings_.remotePenalty > 1;
    for (const auto &rack : racks) {
        // The empty rack comes last: members on any rack.
        if (rack.empty() && spreadCostsTime && waitsForOneRack(*requirements, name))
            return false;
        Wire::JobCommand attempt;
        std::vector<Placement> placed;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            const TaskName task{name, index};
            auto *minion = bestMinion(minions, *requirements, task, rack);
            if (!minion)
                break;
            place(job, task, run + 1, *minion, attempt);
            placed.push_back({task, minion});
        }
        if (placed.size() < tasks.size()) {
            for (const auto &item : placed) {
                item.minion->remove(item.task);
                teamUsage_.remove(item.task, run + 1);
                reservations_.runsChanged(*item.minion);
            }
            continue;
        }
        command.MergeFrom(attempt);
        std::string where;
        for (const auto &item : placed)
            where += (where.empty() ? "" : " ") + std::to_string(item.task.index) + '@'
                + item.minion->report.incarnation.id;
        ports_.logDecision(LogLevel::Info, "gang-assigned",
                           {{"step", name.toString()},
                            {"tasks", placed.size()},
                            {"run", run + 1},
                            {"rack", rack},
                            {"placed", where},
                            {"configuration", store_.configuration().version()},
                            {"waited_ms", (now_.time - entry.second.readySince) / 1ms},
                            {"slack_ms", (entry.second.deadlines.latestStart - now_.time) / 1ms}});
        for (const auto &item : placed)
            queue_.remove(item.task);
        return true;
    }
    return false;
}

} // namespace Pistachio::Jobs
