// Sends lease renewals when they are due, and repeats orders that were not confirmed.

#include "jobs/endproof.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"

#include <algorithm>

namespace Pistachio::Jobs
{

namespace
{

constexpr Duration renewalWait
    = 500ms; ///< bounds how long a lost answer delays the ends of runs; allows several attempts per lease
constexpr Duration lossyRenewalWait = 150ms; ///< while answers are being lost
/// Renewals of the usual lease wait renewalWait, or lossyRenewalWait, times the number of full 100 minions, but at
/// least once that and at most longestRenewalWait. This limits the rate of calls.
constexpr std::int64_t minionsPerRenewalWait = 100;
constexpr Duration longestRenewalWait = 1500ms;
constexpr std::uint32_t maxStartAttempts = 5;
constexpr std::size_t renewalsPerRound = 100; ///< keeps a new leader responsive while it contacts all minions
constexpr std::size_t retriesPerRound = 64; ///< over all minions; the others wait for the next round

/// \return the wait for a lease that may be shorter than the usual one.
Duration scaledToLease(Duration wait, Duration lease)
{
    constexpr auto usual = SchedulerSettings::usualLease;
    return lease < usual ? wait * lease.count() / usual.count() : wait;
}

} // namespace

Duration JobScheduler::idleRenewalInterval() const
{
    return scaledToLease(longestRenewalWait, settings_.lease);
}

Duration JobScheduler::longPollTime() const
{
    const auto share = static_cast<std::int64_t>(fleet_.minions().size()) / minionsPerRenewalWait;
    const auto shortest = answerLosses_.isLossy(now_.time) ? lossyRenewalWait : renewalWait;
    return scaledToLease(std::clamp(shortest * share, shortest, longestRenewalWait), settings_.lease);
}

void JobScheduler::sendDueOrders()
{
    forEachMinionFrom(renewalCursor_, renewalsPerRound, [this, wait = longPollTime()](Minion &minion) {
        if (!isRenewalDue(minion))
            return std::size_t{0};
        // A minion without runs has nothing to wait for, and its connection stays free for starts.
        const bool isAnsweredAtOnce = minion.runs.empty() || hasUnlistedRun(minion, true);
        sendLeaseRenewal(minion, isAnsweredAtOnce ? Duration::zero() : wait);
        return std::size_t{1};
    });
    forEachMinionFrom(retryCursor_, retriesPerRound, [this](Minion &minion) {
        std::size_t sent = 0;
        for (auto &[task, run] : minion.runs)
            sent += retryOrder(minion, task, run) ? 1 : 0;
        return sent;
    });
}

/// The next renewal waits, as long as the lease allows, for the commit of ends, to acknowledge them, and for the stop
/// of runs that the lists lack, to show that it is over. One that follows a failed renewal doesn't wait.
bool JobScheduler::isRenewalDue(const Minion &minion) const
{
    if (minion.renewalOutstanding || now_.time < minion.nextRenewal)
        return false;
    const bool mayWait
        = minion.renewalFailures == 0 && now_.time + settings_.lease / 2 < minion.leaseBound.grantedUntil();
    return !mayWait || !(minion.endsProposed || hasUnlistedRun(minion, false));
}

bool JobScheduler::hasUnlistedRun(const Minion &minion, bool isStopConfirmed)
{
    return std::any_of(minion.runs.begin(), minion.runs.end(), [isStopConfirmed](const auto &entry) {
        const auto &run = entry.second;
        return run.isUnlisted && run.phase == RunPhase::Stopping && run.stopConfirmed == isStopConfirmed
            && run.orderOutstanding != isStopConfirmed;
    });
}

/// Visits minions in turn, beginning behind the one at \p cursor, until \p budget orders are sent.
template<class Visit> void JobScheduler::forEachMinionFrom(std::string &cursor, std::size_t budget, const Visit &visit)
{
    auto &minions = fleet_.minions();
    auto next = minions.upper_bound(cursor);
    for (std::size_t left = minions.size(); left > 0 && budget > 0; --left) {
        if (next == minions.end())
            next = minions.begin();
        cursor = next->first;
        budget -= std::min(budget, visit(next->second));
        ++next;
    }
}

void JobScheduler::recordAttempt(Run &run, OrderOutcome outcome)
{
    const bool isDone = outcome == OrderOutcome::Done || outcome == OrderOutcome::StaleRun;
    run.failures = isDone ? 0 : run.failures + 1;
    run.unansweredAt = outcome == OrderOutcome::Unanswered ? now_.time : TimePoint{};
    run.retryAt = now_.time + backoff_.delay(std::max(run.failures, 1U));
}

bool JobScheduler::isRetryDue(const Minion &minion, const Run &run) const
{
    const bool answersAgain = run.unansweredAt != TimePoint{} && minion.lastAnswerAt > run.unansweredAt;
    return !run.orderOutstanding && (answersAgain || now_.time >= run.retryAt);
}

bool JobScheduler::retryOrder(Minion &minion, const TaskName &task, Run &run)
{
    const bool isStarting = run.phase == RunPhase::Starting;
    const bool isUnconfirmed = isStarting || (run.phase == RunPhase::Stopping && !run.stopConfirmed);
    if (!isUnconfirmed || !isRetryDue(minion, run))
        return false;
    const auto unordered = isStarting ? EndProof::neverOrdered(run) : std::nullopt;
    const auto *job = unordered ? store_.job(task.step.job) : nullptr;
    const bool isHeld = job && isOverCap(*job);
    if (isStarting && !isHeld && run.attempts < maxStartAttempts && now_.time < run.phaseSince + settings_.startLimit)
        sendStart(minion, task, run);
    else if (unordered)
        giveUpStart(minion, task, run, *unordered);
    else
        sendStop(minion, task, run, StopReason::StartNotConfirmed);
    return true;
}

} // namespace Pistachio::Jobs
