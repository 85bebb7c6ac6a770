#include "jobs/copyplanner.h"

#include "jobs/copyports.h"
#include "jobs/demand.h"
#include "jobs/fleet.h"
#include "jobs/job.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"
#include "jobs/workqueue.h"

#include <jobs.pb.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{

constexpr Duration firstCheck = 200ms; ///< after the start; progress is recorded later
constexpr Duration checkInterval = 20ms; ///< the leader's tick
constexpr Duration retryInterval = 60ms; ///< after an obstacle; looking for room takes a look at all minions
constexpr std::uint32_t maxAttempts = 3; ///< copies of a task that minions refuse to start
constexpr std::uint32_t tasksPerCopy = 5; ///< if more of a step's tasks are late, the step is slow and not its tasks
constexpr double minSpeed = 0.01; ///< a task that stands still is taken to go on at this speed
constexpr std::int64_t roomFactor = 2; ///< free room in units of what waits, as it is spread over the minions

/// Removes the entries of a job from a map by task or step.
template<class Map, class Key> void eraseRange(Map &map, const Key &first, const Key &last)
{
    map.erase(map.lower_bound(first), map.lower_bound(last));
}

StepName firstStep(const std::string &job)
{
    return {job, 0, 0};
}

StepName stepBehind(const std::string &job)
{
    return {job + '\0', 0, 0};
}

} // namespace

CopyPlanner::CopyPlanner(const JobStore &store, Fleet &fleet, const WorkQueue &queue, CopyPorts &ports,
                         SchedulerPorts &log)
    : store_(store)
    , fleet_(fleet)
    , queue_(queue)
    , ports_(ports)
    , log_(log)
{
}

void CopyPlanner::clear()
{
    watched_.clear();
    steps_.clear();
    copies_.clear();
    budget_.clear();
}

void CopyPlanner::jobEnded(const std::string &job)
{
    eraseRange(watched_, TaskName{firstStep(job), 0}, TaskName{stepBehind(job), 0});
    eraseRange(steps_, firstStep(job), stepBehind(job));
}

void CopyPlanner::jobRemoved(const std::string &job)
{
    jobEnded(job);
    eraseRange(copies_, TaskName{firstStep(job), 0}, TaskName{stepBehind(job), 0});
}

void CopyPlanner::runStarted(const Job &job, const TaskName &task, const Run &run, const Minion &minion)
{
    const auto &step = job.spec(task.step.step);
    // What uses spare cores is slowed down on purpose.
    if (!Job::allowsCopies(step) || step.uses_spare_cores())
        return;
    const auto *record = job.task(task);
    if (record && record->state == TaskState::Assigned && record->run == run.run && !record->other)
        watched_[task] = {run.run, minion.report.incarnation, run.startedAt + firstCheck, false};
}

void CopyPlanner::copyAssigned(const TaskName &task, std::uint64_t run)
{
    const auto found = copies_.find(task);
    if (found == copies_.end() || found->second.copy != 0)
        return;
    found->second.copy = run;
    ++counts_.started;
}

void CopyPlanner::copyDropped(TimePoint now, const TaskName &task)
{
    const auto found = copies_.find(task);
    if (found == copies_.end() || found->second.copy != 0)
        return;
    budget_.charge(now, -found->second.charged);
    restoreWatch(now, task, found->second.watched);
    copies_.erase(found);
}

void CopyPlanner::restoreWatch(TimePoint now, const TaskName &task, const Watched &watched)
{
    const auto step = steps_.find(task.step);
    if (step == steps_.end() || watched.attempts + 1 >= maxAttempts)
        return;
    step->second.copied.erase(task.index);
    auto &restored = watched_[task] = watched;
    restored.nextCheck = now + retryInterval;
    ++restored.attempts;
}

void CopyPlanner::runEnded(TimePoint now, const Job &job, const TaskName &task, const Run &run, bool isWinner)
{
    if (!Job::allowsCopies(job.spec(task.step.step)))
        return;
    watched_.erase(task);
    if (isWinner && run.startedAt != TimePoint{}) {
        const auto took = now - run.startedAt;
        budget_.addWork(now, CopyBudget::coreSeconds(run.reserved, took));
        if (job.phase() == JobPhase::Active && !job.step(task.step.occurrence, task.step.step)->isDone()) {
            auto &step = steps_[task.step];
            step.done.push_back(took);
            step.longestDone = std::max(step.longestDone, took);
        } else {
            steps_.erase(task.step);
        }
    }
    const auto found = copies_.find(task);
    if (found == copies_.end())
        return;
    auto &copy = found->second;
    if (isWinner)
        copy.winner = run.run;
    if (run.run == copy.watched.run)
        copy.hasFirstEnded = true;
    const bool isCopy = run.run == copy.copy;
    if (isCopy) {
        const auto worked = run.startedAt == TimePoint{} ? Duration::zero() : now - run.startedAt;
        budget_.charge(now, CopyBudget::coreSeconds(run.reserved, worked) - copy.charged);
    }
    // After the winner, the other run is still to end, unless it has.
    if (isWinner && !(isCopy && copy.hasFirstEnded))
        return;
    if (!isCopy && copy.winner == 0)
        return;
    if (isCopy && copy.winner == 0 && !copy.hasFirstEnded && run.startedAt == TimePoint{})
        restoreWatch(now, task, copy.watched);
    endCopy(now, found, run, !isWinner);
}

void CopyPlanner::endCopy(TimePoint now, std::map<TaskName, Copy>::iterator copy, const Run &ended, bool isDiscarded)
{
    const auto &[task, record] = *copy;
    const bool hasWon = record.winner == record.copy && record.copy != 0;
    ++(hasWon ? counts_.won : counts_.lost);
    const auto worked = ended.startedAt == TimePoint{} ? Duration::zero() : now - ended.startedAt;
    const double discarded = isDiscarded ? CopyBudget::coreSeconds(ended.reserved, worked) : 0;
    counts_.discardedCoreSeconds += discarded;
    log_.logDecision(LogLevel::Info, "copy-ended",
                     {{"task", task.toString()},
                      {"first", record.watched.run},
                      {"copy", record.copy},
                      {"winner", record.winner},
                      {"after_ms", (now - record.assignedAt) / 1ms},
                      {"discarded_core_ms", static_cast<std::int64_t>(discarded * 1000)}});
    copies_.erase(copy);
}

void CopyPlanner::plan(TimePoint now)
{
    for (auto entry = watched_.begin(); entry != watched_.end();) {
        auto &[task, watched] = *entry;
        if (now < watched.nextCheck) {
            ++entry;
            continue;
        }
        watched.nextCheck = now + checkInterval;
        const auto *run = workingRun(task, watched);
        if (!run) {
            entry = watched_.erase(entry);
            continue;
        }
        check(now, task, watched, *run);
        ++entry;
    }
}

const Run *CopyPlanner::workingRun(const TaskName &task, const Watched &watched)
{
    const auto *job = store_.job(task.step.job);
    const auto *record = job ? job->task(task) : nullptr;
    if (!record || job->phase() != JobPhase::Active || record->state != TaskState::Assigned
        || record->run != watched.run || record->other || copies_.contains(task))
        return nullptr;
    const auto *minion = fleet_.find(watched.minion);
    const auto found = minion ? minion->runs.find(task) : std::map<TaskName, Run>::const_iterator();
    const bool works = minion && found != minion->runs.end() && found->second.run == watched.run
        && found->second.phase == RunPhase::Running;
    return works ? &found->second : nullptr;
}

CopyPolicy::RunningTask CopyPlanner::describe(TimePoint now, const Run &run, const Minion &minion) const
{
    CopyPolicy::RunningTask result;
    result.elapsed = now - run.startedAt;
    result.slowness = ports_.slownessOf(minion);
    // The run's expected time is that on its minion.
    result.expected
        = Duration(std::llround(static_cast<double>(run.expected.count()) / std::max(minSpeed, result.slowness)));
    std::optional<Duration> pace;
    if (run.speed && run.expected > Duration::zero()) {
        const double factor = 1 / std::max(*run.speed, minSpeed);
        pace = Duration(static_cast<std::int64_t>(factor * static_cast<double>(run.expected.count())));
    }
    if (run.progressAt > run.startedAt)
        result.total = CopyPolicy::totalOf(run.percent, run.progressAt - run.startedAt, pace);
    return result;
}

std::vector<Duration> CopyPlanner::siblingTotals(const TaskName &task)
{
    std::vector<Duration> result;
    if (const auto step = steps_.find(task.step); step != steps_.end())
        result = step->second.done;
    const auto last = watched_.upper_bound({task.step, std::numeric_limits<std::uint32_t>::max()});
    for (auto entry = watched_.lower_bound({task.step, 0}); entry != last; ++entry) {
        const auto &[name, watched] = *entry;
        const auto *run = name == task ? nullptr : workingRun(name, watched);
        if (!run || run->progressAt <= run->startedAt)
            continue;
        if (const auto total = CopyPolicy::totalOf(run->percent, run->progressAt - run->startedAt, std::nullopt))
            result.push_back(*total);
    }
    return result;
}

void CopyPlanner::check(TimePoint now, const TaskName &task, Watched &watched, const Run &run)
{
    const auto &job = *store_.job(task.step.job);
    const auto &minion = *fleet_.find(watched.minion);
    const auto totals = siblingTotals(task);
    const auto step = steps_.find(task.step);
    const CopyPolicy::Siblings siblings{totals, step == steps_.end() ? Duration::zero() : step->second.longestDone};
    const auto running = describe(now, run, minion);
    // Whether any place could do comes before the search for one.
    if (!CopyPolicy::decide(running, siblings, 0))
        return;
    watched.nextCheck = now + retryInterval;
    auto *place = bestPlace(job, task, minion);
    if (!place) {
        if (!watched.hasAsked) {
            watched.hasAsked = true;
            ports_.requestCopyTickets(job, task.step, running.elapsed);
        }
        return;
    }
    const auto reason = CopyPolicy::decide(running, siblings, ports_.slownessOf(*place));
    if (!reason)
        return;
    const double cost = CopyBudget::coreSeconds(run.reserved, reason->copyTime);
    if (const auto why = obstacle(now, job, task, *reason, cost); !why.empty()) {
        log_.logDecision(LogLevel::Debug, "task-not-copied", {{"task", task.toString()}, {"reason", why}});
        return;
    }
    log_.logDecision(LogLevel::Info, "task-copied",
                     {{"task", task.toString()},
                      {"run", run.run},
                      {"minion", minion.report.incarnation.id},
                      {"to", place->report.incarnation.id},
                      {"running_ms", running.elapsed / 1ms},
                      {"percent", run.percent},
                      {"total_ms", running.total ? *running.total / 1ms : -1},
                      {"expected_ms", running.expected / 1ms},
                      {"typical_ms", reason->typical / 1ms},
                      {"siblings", totals.size()},
                      {"remaining_ms", reason->remaining / 1ms},
                      {"copy_ms", reason->copyTime / 1ms},
                      {"core_ms", static_cast<std::int64_t>(cost * 1000)}});
    copies_[task] = {watched, 0, now, cost, 0, false};
    steps_[task.step].copied.insert(task.index);
    budget_.charge(now, cost);
    ports_.assignCopy(job, task, *place);
}

std::string_view CopyPlanner::obstacle(TimePoint now, const Job &job, const TaskName &task,
                                       const CopyPolicy::Reason &reason, double coreSeconds)
{
    const auto &spec = job.spec(task.step.step);
    const auto *queue = store_.queue(job.submission().queue());
    const auto &copied = steps_[task.step].copied;
    if (!queue)
        return "queue";
    if (copied.contains(task.index))
        return "copied before";
    if (copied.size() >= std::max(1U, spec.tasks() / tasksPerCopy))
        return "step";
    if (!CopyPolicy::isWorth(reason, budget_.usedWith(now, coreSeconds)))
        return "budget";
    if (!ports_.mayTeamHold(job, demandOf(spec)))
        return "cap";
    return isRoomWanted(queue->service(), demandOf(spec)) ? "room" : std::string_view();
}

Minion *CopyPlanner::bestPlace(const Job &job, const TaskName &task, const Minion &first)
{
    const auto &rack = job.spec(task.step.step).data_rack();
    Minion *best = nullptr;
    double bestSlowness = 0;
    for (auto *minion : ports_.copyPlaces(job, task.step)) {
        const bool isFirst = minion->report.incarnation.id == first.report.incarnation.id;
        if (isFirst || minion->runs.contains(task) || !minion->hasLabel(rack)
            || minion->lastUnansweredAt != TimePoint{})
            continue;
        const double slowness = ports_.slownessOf(*minion);
        const bool isEmptier
            = best && slowness == bestSlowness && minion->freeCapacity().milliCores > best->freeCapacity().milliCores;
        if (!best || slowness < bestSlowness || isEmptier) {
            best = minion;
            bestSlowness = slowness;
        }
    }
    return best;
}

bool CopyPlanner::isRoomWanted(const std::string &service, const ResourceAmounts &demand)
{
    ResourceAmounts available;
    ResourceAmounts largest;
    ResourceAmounts largestCapacity;
    const auto raise = [](ResourceAmounts &bound, const ResourceAmounts &amounts) {
        bound.milliCores = std::max(bound.milliCores, amounts.milliCores);
        bound.memoryMb = std::max(bound.memoryMb, amounts.memoryMb);
        bound.accelerators = std::max(bound.accelerators, amounts.accelerators);
    };
    for (const auto *minion : fleet_.minionsOf(service)) {
        if (!minion->leaseConfirmed || minion->report.draining)
            continue;
        const auto room = minion->freeCapacity();
        available += room;
        raise(largest, room);
        raise(largestCapacity, minion->capacity());
    }
    ResourceAmounts wanted;
    const auto add = [&wanted](const ResourceAmounts &amounts, std::int64_t count) {
        wanted.milliCores += amounts.milliCores * count;
        wanted.memoryMb += amounts.memoryMb * count;
        wanted.accelerators += amounts.accelerators * count;
    };
    add(demand, roomFactor);
    for (const auto &[name, waiting] : queue_.steps()) {
        const bool needsRoom = waiting.service == service && !ports_.isHeldByCap(waiting);
        const auto *job = needsRoom ? store_.job(name.job) : nullptr;
        if (!job)
            continue;
        const auto amounts = demandOf(job->spec(name.step));
        // What fits on no minion waits for other reasons than room.
        if (!amounts.fitsIn(largestCapacity))
            continue;
        add(amounts, roomFactor * static_cast<std::int64_t>(waiting.tasks.size()));
        if (!amounts.fitsIn(largest) || !wanted.fitsIn(available))
            return true;
    }
    return !wanted.fitsIn(available);
}

} // namespace Pistachio::Jobs
