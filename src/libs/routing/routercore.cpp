#include "routing/routercore.h"

#include <algorithm>

namespace Pistachio::Routing::Internal
{

namespace
{
constexpr Duration housekeepingInterval = 200ms;
constexpr Duration housekeepingIntervalWhenFull = 10ms;
/// A queued request must leave this multiple of the mean time a slot is held; most answers arrive within it.
constexpr int holdMargin = 3;
constexpr std::size_t mostForwards = 3;
constexpr Duration shortestRetryAfter = 1s;
constexpr Duration retryAfterWithoutMinions = 2s;

std::string_view toString(PeerTable::Reach distance)
{
    switch (distance) {
    case PeerTable::Reach::Zone:
        return "other-entry";
    case PeerTable::Reach::Region:
        return "other-zone";
    case PeerTable::Reach::Everywhere:
        return "other-region";
    }
    return {};
}

} // namespace

RouterCore::RouterCore(RouterSettings settings, std::unique_ptr<Balancer> balancer,
                       std::unique_ptr<SlotPolicy> slotPolicy, std::uint64_t seed)
    : settings_(std::move(settings))
    , minions_(settings_.self, std::move(slotPolicy), settings_.minionSilence, settings_.shareGrowthDelay)
    , peers_(settings_.self)
    , balancer_(std::move(balancer))
    , random_(seed)
{
}

void RouterCore::arrived(TimePoint now, const Request &request)
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
    budget_.countRequest();
    startTimer(request.deadline, TimerKind::Deadline, open);
    admit(now, open);
}

void RouterCore::admit(TimePoint now, OpenRequest &open)
{
    const Request &request = open.request;
    AdmissionQueue &queue = queues_[request.service];
    if (queue.size() == 0 && tryDispatch(now, open))
        return;
    if (tryForward(now, open, PeerTable::Reach::Zone))
        return;

    const bool hasMinions = minions_.allowance(request.service) > 0;
    const Estimate expected = estimate(request.service, request.caller);
    const Duration remaining = request.deadline - now;
    const bool inTime = !settings_.admission || expected.wait + expected.hold * holdMargin <= remaining;
    // An entry of another zone that gets a request it would have to queue sends it back instead.
    const bool mayWait = hasMinions && inTime && (!request.forwarded || expected.wait <= settings_.zoneForwardWait);
    if ((!mayWait || expected.wait > settings_.zoneForwardWait) && tryForward(now, open, PeerTable::Reach::Region))
        return;
    if (!mayWait && tryForward(now, open, PeerTable::Reach::Everywhere))
        return;
    if (!mayWait)
        return giveUp(now, open, hasMinions ? AnswerReason::WaitTooLong : AnswerReason::NoMinion);
    if (!makeRoom(now, request))
        return giveUp(now, open, AnswerReason::QueueFull);
    open.state = RequestState::Queued;
    queue.push(request.caller, request.id);
    record(open, {}, {}, "queued");
}

RouterCore::Estimate RouterCore::estimate(const ServiceId &service, const CallerId &caller) const
{
    const std::uint32_t slots = minions_.allowance(service);
    const Duration hold = minions_.latency(service);
    const auto queue = queues_.find(service);
    if (slots == 0 || queue == queues_.end())
        return {Duration::zero(), hold};
    const auto before = static_cast<std::int64_t>(queue->second.positionFor(caller) + 1);
    return {hold * before / slots, hold};
}

bool RouterCore::makeRoom(TimePoint now, const Request &request)
{
    if (queued() < settings_.maxQueued)
        return true;
    // A caller with a long queue makes room for one with a shorter queue, so that no caller can fill all of it.
    AdmissionQueue &queue = queues_[request.service];
    const auto longest = queue.longest();
    if (!longest || queue.sizeOf(*longest) <= queue.sizeOf(request.caller) + 1)
        return false;
    const auto evicted = queue.popNewest(*longest);
    if (OpenRequest *open = evicted ? find(*evicted) : nullptr)
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
    minions_.begin(open.minion);
    std::vector<std::string> compared{open.minion.value()};
    if (choice.other != choice.chosen)
        compared.push_back(candidates[choice.other].id->value());
    if (needsClaim(open))
        claim(now, open);
    else
        send(now, open);
    record(open, open.minion.value(), std::move(compared), std::string(balancer_->name()));
    return true;
}

bool RouterCore::needsClaim(const OpenRequest &open) const
{
    return !open.request.idempotent && !open.request.claimed && open.claim.isEmpty();
}

void RouterCore::claim(TimePoint now, OpenRequest &open)
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
    ++open.attempts;
    attempts_.emplace(open.attempt, OpenAttempt{open.request.id, now});
    if (!open.peer.isEmpty()) {
        commands_.emplace_back(ForwardCommand{open.request.id, open.attempt, open.peer, open.request.deadline - now});
        return;
    }
    if (open.request.idempotent)
        startTimer(now + attemptTimeout(now, open), TimerKind::Attempt, open);
    commands_.emplace_back(SendCommand{open.request.id, open.attempt, open.minion, minions_.address(open.minion)});
}

bool RouterCore::tryForward(TimePoint now, OpenRequest &open, PeerTable::Reach reach)
{
    if (open.request.forwarded || open.triedPeers.size() >= mostForwards)
        return false;
    const auto peer = peers_.take(open.request.service, reach, open.triedPeers, random_);
    if (!peer)
        return false;
    open.peer = *peer;
    if (needsClaim(open))
        claim(now, open);
    else
        send(now, open);
    record(open, peer->value(), {}, std::string(toString(peers_.distance(*peer))));
    return true;
}

void RouterCore::pump(TimePoint now, const ServiceId &service)
{
    const auto position = queues_.find(service);
    if (position == queues_.end())
        return;
    AdmissionQueue &queue = position->second;
    const Duration hold = minions_.latency(service);
    while (queue.size() > 0 && !minions_.candidates(service, {}).empty()) {
        OpenRequest *open = find(*queue.pop());
        if (!open)
            continue;
        // An answer after the deadline is lost work, so the slot goes to a request that can still be answered.
        if (settings_.admission && open->request.deadline - now < hold * holdMargin) {
            giveUp(now, *open, AnswerReason::WaitTooLong);
            continue;
        }
        if (tryDispatch(now, *open))
            continue;
        open->triedMinions.clear();
        tryDispatch(now, *open);
    }
}

void RouterCore::pumpAll(TimePoint now)
{
    for (const ServiceId &service : minions_.services())
        pump(now, service);
}

void RouterCore::readmit(TimePoint now, const ServiceId &service)
{
    AdmissionQueue &queue = queues_[service];
    for (std::size_t count = queue.size(); count > 0; --count) {
        if (OpenRequest *open = find(*queue.pop()))
            admit(now, *open);
    }
}

void RouterCore::housekeeping(TimePoint now)
{
    minions_.update(now);
    peers_.expire(now);
    for (const auto &[service, queue] : queues_) {
        if (queue.size() > 0 && minions_.allowance(service) == 0)
            readmit(now, service);
    }
    pumpAll(now);
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
        nextHousekeeping_ = now + (minions_.hasFull() ? housekeepingIntervalWhenFull : housekeepingInterval);
    }
}

TimePoint RouterCore::nextTick() const
{
    return timers_.empty() ? nextHousekeeping_ : std::min(nextHousekeeping_, timers_.begin()->first);
}

std::size_t RouterCore::queued() const
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
    return std::max<Duration>(shortestRetryAfter, minions_.latency(service) * waiting / slots);
}

Duration RouterCore::attemptTimeout(TimePoint now, const OpenRequest &open) const
{
    const Duration remaining = open.request.deadline - now;
    const Duration mean = minions_.latency(open.request.service);
    // Without a measured latency half of the time is left for another attempt.
    const Duration wanted = mean == Duration::zero() ? remaining / 2 : mean * settings_.attemptTimeoutFactor;
    return std::min(remaining, std::max(settings_.minAttemptTimeout, wanted));
}

OpenRequest *RouterCore::find(const RequestId &request)
{
    const auto position = requests_.find(request);
    return position == requests_.end() ? nullptr : &position->second;
}

AttemptId RouterCore::nextAttempt()
{
    return AttemptId(settings_.attemptPrefix + '-' + std::to_string(++attemptCount_));
}

void RouterCore::startTimer(TimePoint at, TimerKind kind, const OpenRequest &open)
{
    timers_.emplace(at, Timer{kind, open.request.id, open.attempt});
}

void RouterCore::record(const OpenRequest &open, std::string chosen, std::vector<std::string> candidates,
                        std::string reason, std::string outcome)
{
    commands_.emplace_back(DecisionRecord{open.request.id, open.request.caller, open.request.service, open.attempt,
                                          open.attempts, std::move(chosen), std::move(candidates), std::move(reason),
                                          std::move(outcome)});
}

} // namespace Pistachio::Routing::Internal
