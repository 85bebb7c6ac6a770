#include "routing/routercore.h"

#include <algorithm>

namespace Pistachio::Routing::Internal
{

namespace
{
constexpr std::uint32_t firstServerErrorStatus = 500;
constexpr Duration initialRetryBackoff = 4ms;
constexpr std::uint32_t maxRetryBackoffDoublings = 6;

bool didNotRun(AttemptEnd end)
{
    return end == AttemptEnd::RefusedSlots || end == AttemptEnd::RefusedLeaving || end == AttemptEnd::NotWritten;
}

} // namespace

void RouterCore::claimAnswered(TimePoint now, const ClaimResult &result)
{
    OpenRequest *open = findOpenRequest(result.request);
    // A claim answered late was already finished as `NotRun` when it timed out.
    if (!open || open->state != RequestState::Claiming || open->attempt != result.attempt)
        return;
    if (result.state != ClaimState::Claimed)
        return claimNotGranted(now, *open, result.state);
    open->claim = result.attempt;
    if (now >= open->request.deadline) {
        releaseSlot(*open);
        return giveUp(now, *open, AnswerReason::Expired);
    }
    send(now, *open);
}

void RouterCore::claimNotGranted(TimePoint now, OpenRequest &open, ClaimState state)
{
    releaseSlot(open);
    const ServiceId service = open.request.service;
    switch (state) {
    case ClaimState::FinishedRun:
        answer(now, open, Outcome::Run, AnswerReason::StoredAnswer);
        break;
    case ClaimState::FinishedUnknown:
        answer(now, open, Outcome::Unknown, AnswerReason::StoredAnswer);
        break;
    case ClaimState::InProgress:
        answer(now, open, Outcome::Unknown, AnswerReason::InProgress);
        break;
    case ClaimState::FingerprintMismatch:
        answer(now, open, Outcome::NotRun, AnswerReason::FingerprintMismatch);
        break;
    case ClaimState::Lost:
        // The claim may still be committed. The request was not sent and will not be, so it is finished as `NotRun`.
        open.claim = open.attempt;
        answer(now, open, Outcome::NotRun, AnswerReason::ClaimUnavailable);
        break;
    case ClaimState::Claimed:
    case ClaimState::Unavailable:
        answer(now, open, Outcome::NotRun, AnswerReason::ClaimUnavailable);
        break;
    }
    dispatchQueued(now, service);
}

void RouterCore::attemptFinished(TimePoint now, const AttemptResult &result)
{
    const auto position = attempts_.find(result.attempt);
    if (position == attempts_.end())
        return; // late or duplicate
    const OpenAttempt attempt = position->second;
    attempts_.erase(position);
    OpenRequest *open = findOpenRequest(attempt.request);
    if (!open || open->attempt != result.attempt)
        return;
    const ServiceId service = open->request.service;
    recordAttemptResult(now, *open, result, attempt.sent);
    releaseSlot(*open);

    if (result.end == AttemptEnd::Answered) {
        const bool retryable
            = open->request.idempotent && result.status >= firstServerErrorStatus && open->attemptsSent == 1;
        if (!retryable) {
            answer(now, *open, Outcome::Run, AnswerReason::MinionAnswer, result.attempt);
        } else {
            open->fallbackAttempt = result.attempt;
            retryOrAnswer(now, *open, AnswerReason::MinionAnswer);
        }
    } else if (result.end == AttemptEnd::PeerNotRun) {
        // The request reached no minion: another attempt adds no load and needs no retry from the budget.
        admit(now, *open);
    } else if (didNotRun(result.end)) {
        retryOrAnswer(now, *open, AnswerReason::RetriesExhausted);
    } else {
        open->mayHaveRun = true;
        if (open->request.idempotent)
            retryOrAnswer(now, *open, AnswerReason::InDoubt);
        else
            giveUp(now, *open, AnswerReason::InDoubt);
    }
    dispatchQueued(now, service);
}

void RouterCore::recordAttemptResult(TimePoint now, OpenRequest &open, const AttemptResult &result, TimePoint sent)
{
    if (!open.peer.isEmpty()) {
        if (result.end != AttemptEnd::Answered)
            peers_.recordRefusal(open.peer, open.request.service);
        return;
    }
    std::string_view ejection;
    switch (result.end) {
    case AttemptEnd::Answered:
        if (result.status < firstServerErrorStatus)
            minions_.recordSuccess(now, open.minion, now - sent);
        else
            ejection = minions_.recordFailure(now, open.minion);
        break;
    case AttemptEnd::RefusedLeaving:
        minions_.markLeaving(open.minion);
        break;
    case AttemptEnd::RefusedSlots:
        minions_.recordRefusal(now, open.minion);
        nextHousekeeping_ = now;
        break;
    case AttemptEnd::NotWritten:
        // An unreachable minion fails at once, so it always has free slots and would attract most requests. The backoff
        // prevents that also when no more minions may be ejected.
        minions_.recordRefusal(now, open.minion);
        nextHousekeeping_ = now;
        ejection = minions_.recordFailure(now, open.minion);
        break;
    default:
        ejection = minions_.recordFailure(now, open.minion);
    }
    if (!ejection.empty())
        recordDecision(open, open.minion.value(), {}, "ejected: " + std::string(ejection),
                       std::string(toString(result.end)));
}

void RouterCore::releaseSlot(OpenRequest &open)
{
    if (!open.minion.isEmpty()) {
        minions_.releaseSlot(open.minion);
        open.triedMinions.insert(open.minion);
        open.minion = MinionId();
    }
    if (!open.peer.isEmpty()) {
        peers_.releaseSlot(open.peer, open.request.service);
        open.triedPeers.insert(open.peer);
        open.peer = InstanceId();
    }
}

void RouterCore::retryOrAnswer(TimePoint now, OpenRequest &open, AnswerReason reason)
{
    const Duration maxBackoff = initialRetryBackoff * (1LL << std::min(open.attemptsSent, maxRetryBackoffDoublings));
    const auto jitter
        = Duration(static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(maxBackoff.count()))));
    if (open.request.forwarded || now + jitter >= open.request.deadline || !retryBudget_.takeRetry())
        return giveUp(now, open, reason);
    open.state = RequestState::Backoff;
    recordDecision(open, {}, {}, "retry");
    startTimer(now + jitter, TimerKind::Retry, open);
}

void RouterCore::giveUp(TimePoint now, OpenRequest &open, AnswerReason reason)
{
    if (!open.fallbackAttempt.isEmpty())
        return answer(now, open, Outcome::Run, AnswerReason::MinionAnswer, open.fallbackAttempt);
    answer(now, open, open.mayHaveRun ? Outcome::Unknown : Outcome::NotRun, reason);
}

void RouterCore::answer(TimePoint, OpenRequest &open, Outcome outcome, AnswerReason reason, const AttemptId &answeredBy)
{
    const Duration retryAfterTime = outcome == Outcome::NotRun ? retryAfter(open.request.service) : Duration::zero();
    if (!open.claim.isEmpty())
        commands_.emplace_back(FinishCommand{open.request.id, open.claim, open.request.key, outcome, answeredBy});
    commands_.emplace_back(AnswerCommand{open.request.id, outcome, reason, answeredBy, retryAfterTime});
    recordDecision(open, {}, {}, std::string(toString(reason)), std::string(toString(outcome)));
    const RequestId request = open.request.id;
    requests_.erase(request);
}

void RouterCore::requestAbandoned(TimePoint now, const RequestId &request)
{
    OpenRequest *open = findOpenRequest(request);
    if (!open || (open->state != RequestState::Queued && open->state != RequestState::Backoff))
        return;
    queues_[open->request.service].remove(open->request.caller, request);
    giveUp(now, *open, AnswerReason::Expired);
}

void RouterCore::runTimer(TimePoint now, const Timer &timer)
{
    OpenRequest *open = findOpenRequest(timer.request);
    if (!open)
        return;
    if (timer.kind == TimerKind::Deadline)
        return expire(now, *open);
    if (open->attempt != timer.attempt)
        return;
    switch (timer.kind) {
    case TimerKind::Claim:
        if (open->state == RequestState::Claiming)
            claimNotGranted(now, *open, ClaimState::Lost);
        break;
    case TimerKind::Attempt:
        if (open->state == RequestState::InFlight)
            attemptTimedOut(now, *open);
        break;
    case TimerKind::Retry:
        if (open->state == RequestState::Backoff) {
            open->state = RequestState::Queued;
            queues_[open->request.service].pushRetry(open->request.id);
            dispatchQueued(now, open->request.service);
        }
        break;
    case TimerKind::Deadline:
        break;
    }
}

void RouterCore::attemptTimedOut(TimePoint now, OpenRequest &open)
{
    // Without an available retry, waits for an answer until the deadline.
    if (!retryBudget_.hasRetry())
        return;
    commands_.emplace_back(CancelCommand{open.attempt});
    attemptFinished(now, {open.attempt, AttemptEnd::TimedOut, 0});
}

void RouterCore::expire(TimePoint now, OpenRequest &open)
{
    const ServiceId service = open.request.service;
    switch (open.state) {
    case RequestState::Queued:
        queues_[service].remove(open.request.caller, open.request.id);
        return giveUp(now, open, AnswerReason::Expired);
    case RequestState::Backoff:
        return giveUp(now, open, AnswerReason::Expired);
    case RequestState::Claiming:
        return claimNotGranted(now, open, ClaimState::Lost);
    case RequestState::InFlight:
        break;
    }
    const AttemptId attempt = open.attempt;
    commands_.emplace_back(CancelCommand{attempt});
    open.mayHaveRun = true;
    if (const auto position = attempts_.find(attempt); position != attempts_.end()) {
        recordAttemptResult(now, open, {attempt, AttemptEnd::TimedOut, 0}, position->second.sent);
        attempts_.erase(position);
    }
    releaseSlot(open);
    giveUp(now, open, AnswerReason::Expired);
    dispatchQueued(now, service);
}

} // namespace Pistachio::Routing::Internal
