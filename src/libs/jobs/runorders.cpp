// Orders to minions and their leases.

#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{

constexpr Duration holdWait
    = 500ms; ///< a lost answer delays what ended meanwhile by no more; leaves several tries within one lease
constexpr Duration lossyHoldWait = 150ms; ///< while answers get lost
constexpr Duration silenceOfLoss = 1s; ///< a minion that answers again within it was not silent
constexpr std::int64_t smallFleet = 100; ///< minions; a larger fleet is held in longer turns, to bound the calls
constexpr Duration idleHoldWait = 1500ms; ///< of a minion that runs nothing
constexpr Duration orderRetry = 20ms;
constexpr std::uint32_t maxStartAttempts = 5;
constexpr Duration avoidAfterRefusal = 1s;
constexpr Duration avoidAfterSilence = 500ms;
constexpr Duration forgetSilent = 6s; ///< several reports are missing by then
constexpr Duration leaseMargin = 100ms; ///< rounding of both clocks, and the way of the last order
constexpr double paceDownAbove = 0.85; ///< of the bound on a serving task's tail
constexpr double paceUpBelow = 0.55;
constexpr std::uint32_t lowestPace = 5;
constexpr Duration paceInterval = 400ms;

} // namespace

void JobScheduler::sendStart(Minion &minion, const TaskName &task, Run &run)
{
    const auto *job = store_.job(task.step.job);
    const auto *record = job ? job->task(task) : nullptr;
    if (!record)
        return;
    const auto expiry = minion.extendLease(settings_.lease);
    if (!expiry)
        return;
    StartOrder order;
    order.minion = minion.report.incarnation;
    order.address = minion.report.address;
    order.task = task;
    order.run = run.run;
    order.payload = job->submission().spec().payload();
    order.checkpoint = record->checkpoint;
    if (job->spec(task.step.step).gang())
        order.checkpoint = job->step(task.step.occurrence, task.step.step)->tasks.front().checkpoint;
    order.ticket = advice_.ticket(task.step, minion.report.incarnation.id, {}).value_or("");
    order.leaseExpiresAtMs = *expiry;
    order.fencingToken = fencingToken_;
    run.orderOutstanding = true;
    run.lastOrder = now_.time;
    ++run.attempts;
    ports_.start(order);
}

void JobScheduler::sendStop(Minion &minion, const TaskName &task, Run &run)
{
    if (run.phase == RunPhase::Proposed || run.phase == RunPhase::Ending || run.stopConfirmed)
        return;
    if (run.phase != RunPhase::Stopping) {
        run.phase = RunPhase::Stopping;
        run.phaseSince = now_.time;
    }
    run.lastOrder = now_.time;
    run.orderOutstanding = true;
    ports_.stop({minion.report.incarnation, minion.report.address, task, run.run, fencingToken_});
}

void JobScheduler::sendHold(Minion &minion, Duration wait)
{
    LeaseOrder order;
    order.minion = minion.report.incarnation;
    order.address = minion.report.address;
    order.leaseExpiresAtMs = minion.extendLease(settings_.lease);
    order.acknowledgedEnd = minion.acknowledgedEnd;
    order.wait = minion.isHeld ? wait : Duration::zero();
    order.fencingToken = fencingToken_;
    minion.holdOutstanding = true;
    minion.holdSent = now_.time;
    ports_.renewLease(order);
}

void JobScheduler::noteContact(Minion &minion, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Unanswered) {
        minion.unansweredAt = now_.time;
        return;
    }
    if (minion.unansweredAt != TimePoint{} && now_.time < minion.unansweredAt + silenceOfLoss)
        losses_.answerLost(now_.time);
    minion.unansweredAt = {};
}

void JobScheduler::driveOrders()
{
    const auto share = static_cast<std::int64_t>(fleet_.minions().size()) / smallFleet;
    const auto shortest = losses_.isLossy(now_.time) ? lossyHoldWait : holdWait;
    const auto wait = std::clamp(shortest * share, shortest, idleHoldWait);
    for (auto &[id, minion] : fleet_.minions()) {
        if (!minion.holdOutstanding && !minion.endsProposed && now_.time >= minion.nextHold)
            sendHold(minion, minion.runs.empty() ? idleHoldWait : wait);
        for (auto &[task, run] : minion.runs)
            driveRun(minion, task, run);
    }
}

void JobScheduler::driveRun(Minion &minion, const TaskName &task, Run &run)
{
    if (run.orderOutstanding || now_.time < run.lastOrder + orderRetry)
        return;
    if (run.phase == RunPhase::Starting) {
        if (run.attempts < maxStartAttempts)
            sendStart(minion, task, run);
        else
            sendStop(minion, task, run);
    } else if (run.phase == RunPhase::Stopping) {
        sendStop(minion, task, run);
    }
}

void JobScheduler::startAnswered(const EventTime &now, const StartOrder &order, const OrderAnswer &answer)
{
    now_ = now;
    auto *minion = leading_ ? fleet_.find(order.minion) : nullptr;
    if (!minion)
        return;
    noteContact(*minion, answer.outcome);
    if (answer.clockMs)
        minion->clockRead(now.time, *answer.clockMs);
    const auto found = minion->runs.find(order.task);
    if (found == minion->runs.end() || found->second.run != order.run || found->second.phase != RunPhase::Starting)
        return;
    auto &run = found->second;
    run.orderOutstanding = false;
    if (answer.outcome == OrderOutcome::Done) {
        begun_.insert(order.task.step.job);
        run.phase = RunPhase::Running;
        run.phaseSince = now.time;
        run.startedAt = now.time;
        run.progressAt = now.time;
        return;
    }
    ports_.logDecision(LogLevel::Info, "start-not-done",
                       {{"task", order.task.toString()},
                        {"run", order.run},
                        {"minion", order.minion.id},
                        {"attempt", run.attempts},
                        {"outcome", toString(answer.outcome)}});
    switch (answer.outcome) {
    case OrderOutcome::Unanswered:
        minion->avoidUntil = std::max(minion->avoidUntil, now.time + avoidAfterSilence);
        return;
    case OrderOutcome::IncarnationMismatch:
        loseMinion(*minion, "its address answers for another life");
        return;
    case OrderOutcome::LeaseTooShort:
        return;
    case OrderOutcome::StaleRun:
        // It has begun and ended there, or was stopped; the next hold tells which.
        sendStop(*minion, order.task, run);
        return;
    case OrderOutcome::TicketRejected:
        advice_.rejected(order.task.step, order.minion.id);
        break;
    case OrderOutcome::Refused:
        minion->avoidUntil = std::max(minion->avoidUntil, now.time + avoidAfterRefusal);
        break;
    default:
        break;
    }
    // An earlier attempt without an answer may still be carried out.
    if (run.attempts > 1) {
        sendStop(*minion, order.task, run);
        return;
    }
    Wire::JobCommand command;
    proposeEnd(command, *minion, order.task, order.run, Wire::JOB_RUN_END_NOT_STARTED);
    ports_.propose(std::move(command), {});
}

void JobScheduler::stopAnswered(const EventTime &now, const StopOrder &order, const OrderAnswer &answer)
{
    now_ = now;
    auto *minion = leading_ ? fleet_.find(order.minion) : nullptr;
    if (!minion)
        return;
    noteContact(*minion, answer.outcome);
    if (answer.clockMs)
        minion->clockRead(now.time, *answer.clockMs);
    const auto found = minion->runs.find(order.task);
    if (found == minion->runs.end() || found->second.run != order.run || found->second.phase != RunPhase::Stopping)
        return;
    auto &run = found->second;
    run.orderOutstanding = false;
    if (answer.outcome == OrderOutcome::IncarnationMismatch) {
        loseMinion(*minion, "its address answers for another life");
        return;
    }
    if (answer.outcome == OrderOutcome::Done || answer.outcome == OrderOutcome::StaleRun) {
        run.stopConfirmed = true;
        run.phaseSince = now.time;
        return;
    }
    ports_.logDecision(LogLevel::Info, "stop-not-done",
                       {{"task", order.task.toString()},
                        {"run", order.run},
                        {"minion", order.minion.id},
                        {"outcome", toString(answer.outcome)}});
}

void JobScheduler::throttleAnswered(const EventTime &now, const ThrottleOrder &order, const OrderAnswer &answer)
{
    now_ = now;
    auto *minion = leading_ ? fleet_.find(order.minion) : nullptr;
    const auto found = minion ? minion->runs.find(order.task) : std::map<TaskName, Run>::iterator();
    if (!minion || found == minion->runs.end() || found->second.run != order.run)
        return;
    found->second.orderOutstanding = false;
    if (answer.outcome == OrderOutcome::Done)
        found->second.pace = order.percent;
}

void JobScheduler::loseMinion(Minion &minion, std::string_view reason)
{
    std::size_t lost = 0;
    Wire::JobCommand command;
    for (auto &[task, run] : minion.runs) {
        if (run.phase == RunPhase::Proposed || run.phase == RunPhase::Ending)
            continue;
        proposeEnd(command, minion, task, run.run, Wire::JOB_RUN_END_LOST);
        ports_.logDecision(LogLevel::Info, "run-lost",
                           {{"task", task.toString()},
                            {"run", run.run},
                            {"minion", minion.report.incarnation.id},
                            {"reason", reason},
                            {"running_ms", run.startedAt == TimePoint{} ? -1 : (now_.time - run.startedAt) / 1ms},
                            {"checkpoint", !run.checkpoint.empty()}});
        ++lost;
    }
    minion.isHeld = false;
    minion.clockMs.reset();
    ports_.logDecision(
        LogLevel::Warning, "minion-lost",
        {{"minion", minion.report.incarnation.id},
         {"address", minion.report.address},
         {"reason", reason},
         {"runs", lost},
         {"silent_ms", minion.lastContact == TimePoint{} ? -1 : (now_.time - minion.lastContact) / 1ms}});
    if (lost > 0)
        ports_.propose(std::move(command), {});
}

void JobScheduler::loseLapsed()
{
    std::vector<std::string> silent;
    for (auto &[id, minion] : fleet_.minions()) {
        if (now_.time < minion.leaseGone + leaseMargin)
            continue;
        if (!minion.isHeld && now_.time > std::max(minion.lastHeard, minion.leaseGone) + forgetSilent) {
            silent.push_back(id);
            continue;
        }
        const bool runsSomething = std::any_of(minion.runs.begin(), minion.runs.end(), [](const auto &entry) {
            return entry.second.phase != RunPhase::Proposed && entry.second.phase != RunPhase::Ending;
        });
        if (runsSomething || (minion.isHeld && now_.time > minion.lastContact + settings_.lease))
            loseMinion(minion, "its lease is over");
    }
    for (const auto &id : silent)
        forgetMinion(id);
}

void JobScheduler::forgetMinion(const std::string &id)
{
    auto *minion = fleet_.find(id);
    if (!minion || minion->isForgotten)
        return;
    minion->isForgotten = true;
    ports_.logDecision(
        LogLevel::Info, "minion-forgotten",
        {{"minion", id}, {"address", minion->report.address}, {"silent_ms", (now_.time - minion->lastHeard) / 1ms}});
    Wire::JobCommand command;
    command.add_gone_minions(id);
    ports_.propose(std::move(command), [this, id](bool applied) {
        if (auto *kept = applied ? nullptr : fleet_.find(id))
            kept->isForgotten = false;
    });
}

void JobScheduler::pace(Minion &minion)
{
    if (minion.spareUsed() == 0)
        return;
    double worst = 0;
    for (const auto &[task, run] : minion.runs) {
        const auto *job = run.phase == RunPhase::Running ? store_.job(task.step.job) : nullptr;
        if (!job || job->spec(task.step.step).target_ms() == 0)
            continue;
        worst = std::max(worst,
                         static_cast<double>(run.measure) / static_cast<double>(job->spec(task.step.step).target_ms()));
    }
    for (auto &[task, run] : minion.runs) {
        if (run.spareMilliCores == 0 || run.phase != RunPhase::Running || run.orderOutstanding
            || now_.time < run.lastOrder + paceInterval)
            continue;
        auto wanted = run.pace;
        if (worst > paceDownAbove)
            wanted = std::max(lowestPace, run.pace / 2);
        else if (worst < paceUpBelow)
            wanted = std::min(100U, run.pace + 20);
        if (wanted == run.pace)
            continue;
        run.lastOrder = now_.time;
        run.orderOutstanding = true;
        ports_.throttle({minion.report.incarnation, minion.report.address, task, run.run, wanted, fencingToken_});
    }
}

} // namespace Pistachio::Jobs
