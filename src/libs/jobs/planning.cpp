#include "jobs/demand.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{

constexpr Duration contactNeeded = 2500ms; ///< a minion that has not answered for this long gets nothing new
constexpr Duration ticketMargin = 150ms; ///< commit of the assignment and the way to the minion
constexpr Duration adviceRetry = 300ms;
constexpr Duration tightSlack = 1500ms; ///< with less to spare, a fast minion is worth more than a full one
constexpr double tightSlownessWeight = 2; ///< against the share of a minion that stays free
constexpr double looseSlownessWeight = -0.5; ///< leaves the fast ones to those who need them
constexpr double silencePenalty = 5; ///< above all but the place of the data: a task on a silent minion costs its lease
constexpr std::size_t maxReservations = 2; ///< of a service; more would leave minions empty
constexpr Duration fullRoundInterval = 60ms;
constexpr std::size_t failuresOfShortRound = 16;
constexpr std::size_t maxStepsAsked = 16; ///< in one round, so that pressing steps come first

} // namespace

void JobScheduler::plan()
{
    dirty_ = false;
    lastPlan_ = now_.time;
    hasBacklog_ = false;
    isFullRound_ = now_.time >= lastFullPlan_ + fullRoundInterval;
    if (isFullRound_)
        lastFullPlan_ = now_.time;
    Wire::JobCommand command;
    for (const auto &[service, since] : services_) {
        reserved_.clear();
        roomPlan_.clear();
        planService(service, command);
    }
    if (command.assignments_size() > 0)
        ports_.propose(std::move(command), {});
}

void JobScheduler::planService(const std::string &service, Wire::JobCommand &command)
{
    // Most rounds try only the most pressing of the steps that don't fit; processor time is short under overload.
    const std::size_t mostFailures = isFullRound_ ? std::numeric_limits<std::size_t>::max() : failuresOfShortRound;
    const auto bounds = boundsOf(service);
    std::size_t failures = 0;
    std::size_t asked = 0;
    std::size_t reservations = 0;
    for (const auto *entry : queue_.ordered(now_.time, service)) {
        const auto *job = store_.job(entry->first.job);
        if (!job)
            continue;
        const StepName name = entry->first;
        const auto &step = job->spec(name.step);
        const bool isGang = step.gang();
        const bool canFit = demandOf(step).fitsIn(bounds.mostRoom);
        const bool placed = canFit && (isGang ? placeGang(*entry, *job, command) : placeStep(*entry, *job, command));
        // A gang that waits for the rest of its last run to end needs nothing yet.
        if (placed || (isGang && entry->second.tasks.size() < step.tasks()))
            continue;
        hasBacklog_ = hasBacklog_ || failures + 1 >= failuresOfShortRound;
        if (++failures > mostFailures)
            return;
        if (asked < maxStepsAsked && askAdvice(name, *job))
            ++asked;
        if (entry->second.lasts || (isGang && reservations < maxReservations)) {
            reserveFor(*entry, *job);
            reservations += isGang ? 1 : 0;
        } else if (!isGang && isLarge(demandOf(step), bounds.leastCapacity)) {
            keepRoom(*entry, *job);
        }
    }
}

JobScheduler::Bounds JobScheduler::boundsOf(const std::string &service) const
{
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    Bounds bounds{{0, 0, 0}, {most, most, most}};
    const auto raise = [](std::int64_t &bound, std::int64_t value) { bound = std::max(bound, value); };
    const auto lower = [](std::int64_t &bound, std::int64_t value) { bound = std::min(bound, value); };
    for (const auto &[id, minion] : fleet_.minions()) {
        if (minion.report.service != service || !isUsable(minion))
            continue;
        const auto room = minion.room();
        raise(bounds.mostRoom.milliCores, room.milliCores);
        raise(bounds.mostRoom.memoryMb, room.memoryMb);
        raise(bounds.mostRoom.accelerators, room.accelerators);
        const auto capacity = minion.capacity();
        lower(bounds.leastCapacity.milliCores, capacity.milliCores);
        lower(bounds.leastCapacity.memoryMb, capacity.memoryMb);
        lower(bounds.leastCapacity.accelerators, capacity.accelerators);
    }
    return bounds;
}

/// Asks ahead for the steps that follow one whose tasks have all been given out, so that they need not wait for advice.
void JobScheduler::askAhead(const Job &job, const StepName &name)
{
    const auto *queue = store_.queue(job.submission().queue());
    if (!queue || !queue->needs_advice()
        || expectedRunTime(job, name) > std::chrono::milliseconds(queue->ticket_validity_ms()))
        return;
    for (std::uint32_t number = name.step + 1; number < job.stepsPerOccurrence(); ++number) {
        const auto &needed = job.spec(number).depends_on();
        const bool isNext = std::find(needed.begin(), needed.end(), name.step) != needed.end();
        if (isNext)
            askAdvice({job.id(), name.occurrence, number}, job);
    }
}

bool JobScheduler::isUsable(const Minion &minion) const
{
    return minion.isHeld && !minion.isForgotten && !minion.report.draining && minion.clockMs
        && now_.time < minion.lastContact + contactNeeded && now_.time >= minion.avoidUntil;
}

std::optional<JobScheduler::StepNeeds> JobScheduler::needsOf(const Job &job, const StepName &name) const
{
    const auto *queue = store_.queue(job.submission().queue());
    if (!queue)
        return std::nullopt;
    const auto &step = job.spec(name.step);
    return StepNeeds{*queue, step, demandOf(step)};
}

bool JobScheduler::mayRun(const Minion &minion, const StepNeeds &needs)
{
    return needs.demand.fitsIn(minion.capacity()) && minion.report.service == needs.queue.service()
        && minion.hasLabel(needs.step.required_label());
}

std::vector<Minion *> JobScheduler::minionsFor(const StepName &name, const StepNeeds &needs, Tickets tickets)
{
    std::vector<Minion *> result;
    const auto consider = [&](Minion &minion) {
        if (isUsable(minion) && mayRun(minion, needs) && !reserved_.contains(minion.report.incarnation.id))
            result.push_back(&minion);
    };
    if (!needs.queue.needs_advice()) {
        for (auto &[id, minion] : fleet_.minions())
            consider(minion);
        return result;
    }
    const auto until = now_.time + ticketMargin;
    for (const auto &[id, ticket] : advice_.about(name).approved) {
        if (tickets == Tickets::Valid && ticket.validUntil < until)
            continue;
        if (auto *minion = fleet_.find(id))
            consider(*minion);
    }
    return result;
}

bool JobScheduler::fits(const Minion &minion, const Wire::JobStep &step, const StepName &name) const
{
    if (step.max_per_minion() > 0 && minion.tasksOf(name) >= step.max_per_minion())
        return false;
    auto room = minion.room();
    if (step.uses_spare_cores())
        room.milliCores -= minion.spareUsed();
    return demandOf(step).fitsIn(room);
}

Minion *JobScheduler::bestMinion(std::span<Minion *const> minions, const StepNeeds &needs, const TaskName &task,
                                 const std::string &rack)
{
    const auto &step = needs.step;
    const auto waiting = queue_.steps().find(task.step);
    const bool isTight = waiting != queue_.steps().end() && waiting->second.times.latestStart < now_.time + tightSlack;
    const double slownessWeight = isTight ? tightSlownessWeight : looseSlownessWeight;
    Minion *best = nullptr;
    auto bestScore = std::numeric_limits<double>::max();
    for (auto *minion : minions) {
        if (!fits(*minion, step, task.step) || !roomPlan_.allows(minion->report.incarnation.id, needs.demand)
            || minion->runs.contains(task) || (!rack.empty() && !minion->hasLabel(rack)))
            continue;
        auto room = minion->room();
        room -= needs.demand;
        // The fullest minion that still fits keeps whole minions free for large tasks.
        double score = static_cast<double>(room.milliCores)
            / static_cast<double>(std::max<std::int64_t>(1, minion->report.milliCores));
        if (minion->report.accelerators > 0)
            score += static_cast<double>(room.accelerators) / static_cast<double>(minion->report.accelerators);
        if (!step.data_rack().empty() && !minion->hasLabel(step.data_rack()))
            score += 10;
        if (minion->unansweredAt != TimePoint{})
            score += silencePenalty;
        score += speeds_.slowness(minion->kind()) * slownessWeight;
        if (score < bestScore) {
            bestScore = score;
            best = minion;
        }
    }
    return best;
}

void JobScheduler::place(const Job &job, const TaskName &task, std::uint64_t run, Minion &minion,
                         Wire::JobCommand &command)
{
    const auto &step = job.spec(task.step.step);
    Run planned;
    planned.run = run;
    planned.reserved = reservedBy(step);
    planned.spareMilliCores = step.uses_spare_cores() ? step.milli_cores() : 0;
    planned.phaseSince = now_.time;
    planned.expected = expectedRunTime(job, task.step);
    minion.add(task, planned);
    roomPlan_.taken(minion.report.incarnation.id, planned.reserved);
    auto &assignment = *command.add_assignments();
    fill(*assignment.mutable_task(), task);
    assignment.set_run(run);
    assignment.set_minion(minion.report.incarnation.id);
    assignment.set_minion_born_unix_ms(minion.report.incarnation.bornUnixMs);
}

bool JobScheduler::placeStep(const WaitingEntry &entry, const Job &job, Wire::JobCommand &command)
{
    const StepName name = entry.first;
    const auto waiting = entry.second.tasks;
    const auto since = entry.second.readySince;
    const auto slack = entry.second.times.latestStart - now_.time;
    const auto needs = needsOf(job, name);
    if (!needs)
        return false;
    const auto minions = minionsFor(name, *needs, Tickets::Valid);
    std::size_t placed = 0;
    std::string where;
    for (const auto index : waiting) {
        const TaskName task{name, index};
        auto *minion = bestMinion(minions, *needs, task, {});
        if (!minion)
            break;
        place(job, task, job.task(task)->run + 1, *minion, command);
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
        askAhead(job, name);
    return placed == waiting.size();
}

bool JobScheduler::placeGang(const WaitingEntry &entry, const Job &job, Wire::JobCommand &command)
{
    const StepName name = entry.first;
    const auto &tasks = job.step(name.occurrence, name.step)->tasks;
    const auto waiting = entry.second.tasks;
    // A gang starts anew only once all members of its last run have ended.
    if (waiting.size() < tasks.size())
        return false;
    std::uint64_t run = 0;
    for (const auto &task : tasks)
        run = std::max(run, task.run);
    const auto needs = needsOf(job, name);
    if (!needs)
        return false;
    const auto minions = minionsFor(name, *needs, Tickets::Valid);
    std::vector<std::string> racks{std::string()};
    if (needs->step.same_rack()) {
        std::set<std::string> labels;
        for (const auto *minion : minions)
            labels.insert(minion->report.labels.begin(), minion->report.labels.end());
        racks.insert(racks.begin(), labels.begin(), labels.end());
    }
    for (const auto &rack : racks) {
        Wire::JobCommand attempt;
        std::vector<Placement> placed;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            const TaskName task{name, index};
            auto *minion = bestMinion(minions, *needs, task, rack);
            if (!minion)
                break;
            place(job, task, run + 1, *minion, attempt);
            placed.push_back({task, minion});
        }
        if (placed.size() < tasks.size()) {
            for (const auto &item : placed)
                item.minion->remove(item.task);
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
                            {"slack_ms", (entry.second.times.latestStart - now_.time) / 1ms}});
        for (const auto &item : placed)
            queue_.remove(item.task);
        return true;
    }
    return false;
}

bool JobScheduler::askAdvice(const StepName &name, const Job &job)
{
    const auto needs = needsOf(job, name);
    if (!needs || !needs->queue.needs_advice() || ports_.idleAdviceClients() == 0)
        return false;
    const auto &known = advice_.about(name);
    if (!known.asking.empty() || now_.time < known.failedAt + adviceRetry)
        return false;
    // Those with room first, and those that are known to be approved before others.
    std::vector<std::tuple<bool, bool, std::int64_t, std::string_view>> candidates;
    for (const auto &[id, minion] : fleet_.minions()) {
        if (!isUsable(minion) || !mayRun(minion, *needs) || known.denied.contains(id)
            || known.hasTicket(id, now_.time + ticketMargin))
            continue;
        candidates.emplace_back(!fits(minion, needs->step, name), !known.approved.contains(id),
                                -minion.room().milliCores, id);
    }
    const auto count = std::min(settings_.advisedMinions, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end());
    AdviceRequest request;
    request.step = name;
    for (std::size_t number = 0; number < count; ++number)
        request.minions.emplace_back(std::get<std::string_view>(candidates[number]));
    if (request.minions.empty())
        return false;
    advice_.asked(request);
    ports_.askAdvice(request);
    return true;
}

void JobScheduler::adviceAnswered(const EventTime &now, const AdviceRequest &request, bool answered,
                                  const std::vector<ApprovedMinion> &approved)
{
    now_ = now;
    if (!leading_)
        return;
    dirty_ = true;
    const auto *job = store_.job(request.step.job);
    const auto *queue = job ? store_.queue(job->submission().queue()) : nullptr;
    if (!answered || !queue) {
        advice_.failed(now.time, request.step);
        ports_.logDecision(LogLevel::Info, "advice-failed",
                           {{"step", request.step.toString()}, {"minions", request.minions.size()}});
        return;
    }
    advice_.answered(now.time, std::chrono::milliseconds(queue->ticket_validity_ms()), request.step, approved);
    ports_.logDecision(
        LogLevel::Debug, "advice",
        {{"step", request.step.toString()}, {"asked", request.minions.size()}, {"approved", approved.size()}});
}

} // namespace Pistachio::Jobs
