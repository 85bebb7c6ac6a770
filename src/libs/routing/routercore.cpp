#include "routing/routercore.h"

#include <algorithm>

namespace Pistachio::Routing::Internal
{

namespace
{
constexpr Duration housekeepingInterval = 200ms;
constexpr Duration housekeepingIntervalDuringBackoff = 10ms;
/// A request may wait only while this multiple of the smoothed latency is left before its deadline. Most answers arrive
/// within that time.
constexpr int latencyMargin = 3;
constexpr std::size_t maxForwards = 3;
constexpr Duration minRetryAfter = 1s;
constexpr Duration retryAfterWithoutMinions = 2s;

std::string_view toString(PeerTable::Distance distance)
{
    switch (distance) {
    case PeerTable::Distance::SameZone:
        return "other-entry";
    case PeerTable::Distance::SameRegion:
        return "other-zone";
    case PeerTable::Distance::OtherRegion:
        return "other-region";
    }
    return {};
}

} // namespace

RouterCore::RouterCore(RouterSettings settings, std::unique_ptr<Balancer> balancer,
                       std::unique_ptr<SlotPolicy> slotPolicy, std::uint64_t seed)
    : settings_(std::move(settings))
    , minions_(settings_.self, std::move(slotPolicy), settings_.minionSilenceTimeout, settings_.shareGrowthDelay)
    , peers_(settings_.self)
    , balancer_(std::move(balancer))
    , random_(seed)
{
}

void RouterCore::requestArrived(TimePoint now, const Request &request)
{
    const auto [position, isNew] = requests_.try_emplace(request.id);
    if (!isNew)
        return;
    OpenRequest &open = position->second;
    open.request = request;
    if (draining_)
        return answer(now, open, Outcome::NotRun, AnswerReason::Draining);
    if (!request.idempotent && !request.claimed && request.key.empty())
        return answer(now, open, Outcome::NotRun, AnswerReason::MissingKey);
    retryBudget_.countRequest();
    startTimer(request.deadline, TimerKind::Deadline, open);
    admit(now, open);
}

void RouterCore::admit(TimePoint now, OpenRequest &open)
{
    const Request &request = open.request;
    AdmissionQueue &queue = queues_[request.service];
    if (queue.size() == 0 && tryDispatch(now, open))
        return;
    if (tryForward(now, open, PeerTable::Distance::SameZone))
        return;

    const bool hasMinions = minions_.allowance(request.service) > 0;
    const Estimate expected = estimate(request.service, request.caller);
    const Duration remaining = request.deadline - now;
    const bool inTime = !settings_.admissionControl || expected.wait + expected.latency * latencyMargin <= remaining;
    // A forwarded request that would have to wait too long here goes back to the entry that sent it.
    const bool mayWait
        = hasMinions && inTime && (!request.forwarded || expected.wait <= settings_.zoneForwardThreshold);
    if ((!mayWait || expected.wait > settings_.zoneForwardThreshold)
        && tryForward(now, open, PeerTable::Distance::SameRegion))
        return;
    if (!mayWait && tryForward(now, open, PeerTable::Distance::OtherRegion))
        return;
    if (!mayWait)
        return giveUp(now, open, hasMinions ? AnswerReason::WaitTooLong : AnswerReason::NoMinion);
    if (!ensureQueueSpace(now, request))
        return giveUp(now, open, AnswerReason::QueueFull);
    open.state = RequestState::Queued;
    queue.push(request.caller, request.id);
    recordDecision(open, {}, {}, "queued");
}

RouterCore::Estimate RouterCore::estimate(const ServiceId &service, const CallerId &caller) const
{
    const std::uint32_t slots = minions_.allowance(service);
    const Duration latency = minions_.latency(service);
    const auto queue = queues_.find(service);
    if (slots == 0 || queue == queues_.end())
        return {Duration::zero(), latency};
    const auto before = static_cast<std::int64_t>(queue->second.positionFor(caller) + 1);
    return {latency * before / slots, latency};
}

bool RouterCore::ensureQueueSpace(TimePoint now, const Request &request)
{
    if (queuedRequests() < settings_.maxQueued)
        return true;
    // Evicts a request of the caller with the most waiting ones, so that no caller can fill the whole queue.
    AdmissionQueue &queue = queues_[request.service];
    const auto largest = queue.callerWithMostWaiting();
    if (!largest || queue.sizeOf(*largest) <= queue.sizeOf(request.caller) + 1)
        return false;
    const auto evicted = queue.popNewest(*largest);
    if (OpenRequest *open = evicted ? findOpenRequest(*evicted) : nullptr)
        giveUp(now, *open, AnswerReason::QueueFull);
    return true;
}

bool RouterCore::tryDispatch(TimePoint now, OpenRequest &open)
{
    const std::vector<Candidate> candidates = minions_.candidates(open.request.service, open.triedMinions);
    if (candidates.empty())
        return false;
    const Choice choice = balancer_->choose(candidates, random_);
    open.minion = *candidates[choice.chosen].id;
    minions_.acquireSlot(open.minion);
    std::vector<std::string> compared{open.minion.value()};
    if (choice.other != choice.chosen)
        compared.push_back(candidates[choice.other].id->value());
    if (needsClaim(open))
        requestClaim(now, open);
    else
        send(now, open);
    recordDecision(open, open.minion.value(), std::move(compared), std::string(balancer_->name()));
    return true;
}

bool RouterCore::needsClaim(const OpenRequest &open) const
{
    return !open.request.idempotent && !open.request.claimed && open.claim.isEmpty();
}

void RouterCore::requestClaim(TimePoint now, OpenRequest &open)
{
    open.state = RequestState::Claiming;
    open.attempt = nextAttempt();
    const Duration timeout = std::min<Duration>(settings_.claimTimeout, open.request.deadline - now);
    startTimer(now + timeout, TimerKind::Claim, open);
    commands_.emplace_back(
        ClaimCommand{open.request.id, open.attempt, open.request.key, open.request.fingerprint, timeout});
}

void RouterCore::send(TimePoint now, OpenRequest &open)
{
    open.state = RequestState::InFlight;
    open.attempt = nextAttempt();
    ++open.attemptsSent;
    attempts_.emplace(open.attempt, OpenAttempt{open.request.id, now});
    if (!open.peer.isEmpty()) {
        commands_.emplace_back(ForwardCommand{open.request.id, open.attempt, open.peer, open.request.deadline - now});
        return;
    }
    if (open.request.idempotent)
        startTimer(now + attemptTimeout(now, open), TimerKind::Attempt, open);
    commands_.emplace_back(SendCommand{open.request.id, open.attempt, open.minion, minions_.address(open.minion)});
}

bool RouterCore::tryForward(TimePoint now, OpenRequest &open, PeerTable::Distance maxDistance)
{
    if (open.request.forwarded || open.triedPeers.size() >= maxForwards)
        return false;
    const auto peer = peers_.acquireSlot(open.request.service, maxDistance, open.triedPeers, random_);
    if (!peer)
        return false;
    open.peer = *peer;
    if (needsClaim(open))
        requestClaim(now, open);
    else
        send(now, open);
    recordDecision(open, peer->value(), {}, std::string(toString(peers_.distanceTo(*peer))));
    return true;
}

void RouterCore::dispatchQueued(TimePoint now, const ServiceId &service)
{
    const auto position = queues_.find(service);
    if (position == queues_.end())
        return;
    AdmissionQueue &queue = position->second;
    const Duration latency = minions_.latency(service);
    while (queue.size() > 0 && !minions_.candidates(service, {}).empty()) {
        OpenRequest *open = findOpenRequest(*queue.pop());
        if (!open)
            continue;
        // An answer after the deadline is wasted work; the slot goes to a request that can still be answered in time.
        if (settings_.admissionControl && open->request.deadline - now < latency * latencyMargin) {
            giveUp(now, *open, AnswerReason::WaitTooLong);
            continue;
        }
        if (tryDispatch(now, *open))
            continue;
        open->triedMinions.clear();
        tryDispatch(now, *open);
    }
}

void RouterCore::dispatchAllQueued(TimePoint now)
{
    for (const ServiceId &service : minions_.services())
        dispatchQueued(now, service);
}

void RouterCore::readmitQueued(TimePoint now, const ServiceId &service)
{
    AdmissionQueue &queue = queues_[service];
    for (std::size_t count = queue.size(); count > 0; --count) {
        if (OpenRequest *open = findOpenRequest(*queue.pop()))
            admit(now, *open);
    }
}

void RouterCore::housekeeping(TimePoint now)
{
    minions_.update(now);
    peers_.removeSilentPeers(now);
    for (const auto &[service, queue] : queues_) {
        if (queue.size() > 0 && minions_.allowance(service) == 0)
            readmitQueued(now, service);
    }
    dispatchAllQueued(now);
}

void RouterCore::tick(TimePoint now)
{
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const Timer timer = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        runTimer(now, timer);
    }
    if (now >= nextHousekeeping_) {
        housekeeping(now);
        nextHousekeeping_
            = now + (minions_.hasBackingOffMinion() ? housekeepingIntervalDuringBackoff : housekeepingInterval);
    }
}

TimePoint RouterCore::nextTick() const
{
    return timers_.empty() ? nextHousekeeping_ : std::min(nextHousekeeping_, timers_.begin()->first);
}

std::size_t RouterCore::queuedRequests() const
{
    std::size_t sum = 0;
    for (const auto &[service, queue] : queues_)
        sum += queue.size();
    return sum;
}

std::vector<ServiceLoad> RouterCore::loads() const
{
    std::vector<ServiceLoad> result;
    for (const ServiceId &service : minions_.services()) {
        const auto queue = queues_.find(service);
        ServiceLoad load{service, 0, 0};
        load.queued = queue == queues_.end() ? 0 : static_cast<std::uint32_t>(queue->second.size());
        const std::uint32_t allowance = minions_.allowance(service);
        if (load.queued == 0 && !draining_)
            load.freeSlots = allowance - std::min(allowance, minions_.inFlight(service));
        result.push_back(std::move(load));
    }
    return result;
}

Duration RouterCore::retryAfter(const ServiceId &service) const
{
    const std::uint32_t slots = minions_.allowance(service);
    if (slots == 0)
        return retryAfterWithoutMinions;
    const auto queue = queues_.find(service);
    const auto waiting = queue == queues_.end() ? 0 : static_cast<std::int64_t>(queue->second.size());
    return std::max<Duration>(minRetryAfter, minions_.latency(service) * waiting / slots);
}

Duration RouterCore::attemptTimeout(TimePoint now, const OpenRequest &open) const
{
    const Duration remaining = open.request.deadline - now;
    const Duration latency = minions_.latency(open.request.service);
    // While the latency is unknown, half of the remaining time is left for another attempt.
    const Duration wanted = latency == Duration::zero() ? remaining / 2 : latency * settings_.attemptTimeoutFactor;
    return std::min(remaining, std::max(settings_.minAttemptTimeout, wanted));
}

OpenRequest *RouterCore::findOpenRequest(const RequestId &request)
{
    const auto position = requests_.find(request);
    return position == requests_.end() ? nullptr : &position->second;
}

AttemptId RouterCore::nextAttempt()
{
    return AttemptId(settings_.attemptPrefix + '-' + std::to_string(++lastAttemptNumber_));
}

void RouterCore::startTimer(TimePoint at, TimerKind kind, const OpenRequest &open)
{
    timers_.emplace(at, Timer{kind, open.request.id, open.attempt});
}

void RouterCore::recordDecision(const OpenRequest &open, std::string chosen, std::vector<std::string> candidates,
                                std::string reason, std::string outcome)
{
    commands_.emplace_back(DecisionRecord{open.request.id, open.request.caller, open.request.service, open.attempt,
                                          open.attemptsSent, std::move(chosen), std::move(candidates),
                                          std::move(reason), std::move(outcome)});
}

} // namespace Pistachio::Routing::Internal
