// Sends orders to minions and handles the answers.

#include "jobs/endproof.h"
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

constexpr Duration maxLossGap = 1s; ///< a minion that answers again within it was responsive; only the answer was lost
constexpr Duration avoidAfterRefusal = 1s;
constexpr Duration avoidAfterUnansweredStart = 500ms;
constexpr double throttleAbove = 0.85; ///< share of the target tail latency of a serving task
constexpr double unthrottleBelow = 0.55;
constexpr std::uint32_t minThrottlePercent = 5;
constexpr Duration throttleInterval = 400ms;

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
    order.fence = minion.fence;
    run.orderOutstanding = true;
    run.lastOrderAt = now_.time;
    ++run.attempts;
    ++run.unansweredStarts;
    ports_.start(order);
}

void JobScheduler::sendStop(Minion &minion, const TaskName &task, Run &run, StopReason reason)
{
    if (run.phase == RunPhase::Proposed || run.phase == RunPhase::Ending || run.stopConfirmed)
        return;
    if (run.phase != RunPhase::Stopping) {
        run.phase = RunPhase::Stopping;
        run.stopReason = reason;
        run.phaseSince = now_.time;
        run.failures = 0;
    }
    run.lastOrderAt = now_.time;
    run.orderOutstanding = true;
    ports_.stop({minion.report.incarnation, minion.report.address, task, run.run, minion.fence});
}

void JobScheduler::sendLeaseRenewal(Minion &minion, Duration wait)
{
    LeaseOrder order;
    order.minion = minion.report.incarnation;
    order.address = minion.report.address;
    order.leaseExpiresAtMs = minion.extendLease(settings_.lease);
    // A later incarnation numbers its ends from 1 again, and would forget those that it hasn't listed.
    const bool mayBeLater = !minion.leaseConfirmed || minion.leaseBound.laterIncarnationUntil() != TimePoint{};
    order.acknowledgedEnd = mayBeLater ? 0 : minion.acknowledgedEnd;
    // A renewal that follows a failed one is answered at once, so that there is time for more before the lease ends.
    order.wait = minion.leaseConfirmed && minion.renewalFailures == 0 ? wait : Duration::zero();
    order.fence = minion.fence;
    minion.renewalOutstanding = true;
    minion.renewalSentAt = now_.time;
    minion.renewals.sent(now_.time, order);
    ports_.renewLease(order);
}

void JobScheduler::recordContact(Minion &minion, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::NotSent)
        return;
    if (outcome == OrderOutcome::Unanswered) {
        minion.lastUnansweredAt = now_.time;
        return;
    }
    minion.lastAnswerAt = now_.time;
    if (minion.lastUnansweredAt != TimePoint{} && now_.time < minion.lastUnansweredAt + maxLossGap)
        answerLosses_.recordLoss(now_.time);
    minion.lastUnansweredAt = {};
}

template<class Order>
JobScheduler::AnsweredRun JobScheduler::recordAnswer(const Order &order, const OrderAnswer &answer, RunPhase phase)
{
    auto *minion = orderedMinion(order);
    if (!minion)
        return {};
    recordContact(*minion, answer.outcome);
    if (answer.clockMs)
        minion->recordClock(now_.time, *answer.clockMs);
    // The answer doesn't say which incarnation it is of; what the minion lists next does.
    if (answer.mayReachLaterIncarnation && isAnswered(answer.outcome))
        minion->leaseBound.assumeLaterIncarnation(now_.time + longestTime(settings_.longestLease));
    const auto found = minion->runs.find(order.task);
    if (found == minion->runs.end() || found->second.run != order.run || found->second.phase != phase)
        return {};
    found->second.orderOutstanding = false;
    recordAttempt(found->second, answer.outcome);
    return {minion, &found->second};
}

/// The minion has carried the start out, refused it, or not seen it.
void JobScheduler::settleStart(const StartOrder &order)
{
    auto *minion = orderedMinion(order);
    const auto found = minion ? minion->runs.find(order.task) : std::map<TaskName, Run>::iterator();
    if (minion && found != minion->runs.end() && found->second.run == order.run && found->second.unansweredStarts > 0)
        --found->second.unansweredStarts;
}

void JobScheduler::startAnswered(const EventTime &now, const StartOrder &order, const OrderAnswer &answer)
{
    now_ = now;
    if (answer.outcome != OrderOutcome::Unanswered)
        settleStart(order);
    const auto answered = recordAnswer(order, answer, RunPhase::Starting);
    if (!answered.run)
        return;
    auto *minion = answered.minion;
    auto &run = *answered.run;
    if (answer.outcome == OrderOutcome::Done) {
        begunJobs_.insert(order.task.step.job);
        run.phase = RunPhase::Running;
        run.phaseSince = now.time;
        run.startedAt = now.time;
        run.progressAt = now.time;
        if (const auto *job = store_.job(order.task.step.job))
            copies_.runStarted(*job, order.task, run, *minion);
        // Its end is heard of by a renewal that waits for it.
        minion->nextRenewal = std::min(minion->nextRenewal, now.time);
        return;
    }
    if (answer.outcome == OrderOutcome::NotSent) {
        --run.attempts;
        return;
    }
    ports_.logDecision(LogLevel::Info, "start-not-confirmed",
                       {{"task", order.task.toString()},
                        {"run", order.run},
                        {"minion", order.minion.id},
                        {"attempt", run.attempts},
                        {"outcome", toString(answer.outcome)}});
    switch (answer.outcome) {
    case OrderOutcome::Unanswered:
        minion->refusesUntil = std::max(minion->refusesUntil, now.time + avoidAfterUnansweredStart);
        if (answer.mayReachLaterIncarnation)
            minion->leaseBound.assumeLaterIncarnation(now.time + longestTime(settings_.longestLease));
        return;
    case OrderOutcome::IncarnationMismatch:
        suspendMinion(*minion, "another minion answers at its address");
        break;
    case OrderOutcome::LeaseTooShort:
        return;
    case OrderOutcome::StaleRun:
        // The run has already ended there or was stopped; the next lease answer shows which.
        sendStop(*minion, order.task, run, StopReason::StartNotConfirmed);
        return;
    case OrderOutcome::TicketRejected:
        advice_.invalidateTicket(order.task.step, order.minion.id);
        break;
    case OrderOutcome::InsufficientCapacity:
        // What is being stopped there still uses capacity.
        minion->refusesUntil = std::max(minion->refusesUntil, now.time + settings_.stopTimeout);
        break;
    case OrderOutcome::Refused:
        minion->refusesUntil = std::max(minion->refusesUntil, now.time + avoidAfterRefusal);
        break;
    default:
        break;
    }
    // An earlier, unanswered attempt may still be executed.
    if (const auto proof = EndProof::refused(run))
        giveUpStart(*minion, order.task, run, *proof);
    else
        sendStop(*minion, order.task, run, StopReason::StartNotConfirmed);
}

void JobScheduler::giveUpStart(Minion &minion, const TaskName &task, const Run &run, const EndProof &proof)
{
    Wire::JobCommand command;
    proposeEnd(command, minion, task, run.run, Wire::JOB_RUN_END_NOT_STARTED, proof);
    ports_.propose(std::move(command), {});
}

void JobScheduler::stopAnswered(const EventTime &now, const StopOrder &order, const OrderAnswer &answer)
{
    now_ = now;
    const auto answered = recordAnswer(order, answer, RunPhase::Stopping);
    if (!answered.run)
        return;
    auto *minion = answered.minion;
    auto &run = *answered.run;
    if (answer.outcome == OrderOutcome::IncarnationMismatch)
        suspendMinion(*minion, "another minion answers at its address");
    if (answer.outcome == OrderOutcome::Done || answer.outcome == OrderOutcome::StaleRun) {
        run.stopConfirmed = true;
        run.phaseSince = now.time;
        return;
    }
    if (answer.outcome == OrderOutcome::NotSent)
        return;
    ports_.logDecision(LogLevel::Info, "stop-not-confirmed",
                       {{"task", order.task.toString()},
                        {"run", order.run},
                        {"minion", order.minion.id},
                        {"outcome", toString(answer.outcome)}});
}

void JobScheduler::throttleAnswered(const EventTime &now, const ThrottleOrder &order, const OrderAnswer &answer)
{
    now_ = now;
    auto *minion = orderedMinion(order);
    const auto found = minion ? minion->runs.find(order.task) : std::map<TaskName, Run>::iterator();
    if (!minion || found == minion->runs.end() || found->second.run != order.run)
        return;
    found->second.orderOutstanding = false;
    if (answer.outcome == OrderOutcome::Done)
        found->second.throttlePercent = order.percent;
}

void JobScheduler::adjustThrottles(Minion &minion)
{
    if (minion.spareMilliCoresUsed() == 0)
        return;
    double worst = 0;
    for (const auto &[task, run] : minion.runs) {
        const auto *job = run.phase == RunPhase::Running ? store_.job(task.step.job) : nullptr;
        if (!job || job->spec(task.step.step).target_ms() == 0)
            continue;
        worst = std::max(
            worst, static_cast<double>(run.measurement) / static_cast<double>(job->spec(task.step.step).target_ms()));
    }
    for (auto &[task, run] : minion.runs) {
        if (run.spareMilliCores == 0 || run.phase != RunPhase::Running || run.orderOutstanding
            || now_.time < run.lastOrderAt + throttleInterval)
            continue;
        auto wanted = run.throttlePercent;
        if (worst > throttleAbove)
            wanted = std::max(minThrottlePercent, run.throttlePercent / 2);
        else if (worst < unthrottleBelow)
            wanted = std::min(100U, run.throttlePercent + 20);
        if (wanted == run.throttlePercent)
            continue;
        run.lastOrderAt = now_.time;
        run.orderOutstanding = true;
        ports_.throttle({minion.report.incarnation, minion.report.address, task, run.run, wanted, minion.fence});
    }
}

} // namespace Pistachio::Jobs
