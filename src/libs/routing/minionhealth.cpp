#include "routing/minionhealth.h"

#include <algorithm>

namespace Pistachio::Routing
{

namespace
{
constexpr std::uint32_t failuresToEject = 5;
/// A returning minion is ejected at its first failure because it failed before.
constexpr std::uint32_t failuresToEjectReturning = 1;
constexpr std::uint32_t samplesToDetectSlow = 10;
constexpr std::uint32_t samplesToDetectSlowReturning = 2;
/// A returning minion is healthy once its allowance has grown to this.
constexpr std::uint32_t healthyReturnAllowance = 8;
constexpr Duration initialEjectionTime = 5s;
constexpr Duration maxEjectionTime = 60s;
/// An ejection later than this after the last return starts again with the initial time.
constexpr Duration ejectionCountResetTime = 120s;
constexpr Duration initialRefusalBackoff = 10ms;
constexpr std::uint32_t maxRefusalBackoffDoublings = 8;
/// A new sample has the weight 1/8 in the smoothed latency.
constexpr int latencySmoothingDivisor = 8;
} // namespace

void MinionHealth::recordSuccess(Duration latency)
{
    consecutiveFailures_ = 0;
    consecutiveRefusals_ = 0;
    latency_ = samples_ == 0 ? latency : latency_ + (latency - latency_) / latencySmoothingDivisor;
    ++samples_;
    if (state_ != State::Returning)
        return;
    if (++returnAllowance_ >= healthyReturnAllowance)
        state_ = State::Healthy;
}

void MinionHealth::recordFailure()
{
    ++consecutiveFailures_;
}

void MinionHealth::recordRefusal(TimePoint now)
{
    backingOff_ = true;
    backoffUntil_ = now + initialRefusalBackoff * (1LL << std::min(consecutiveRefusals_, maxRefusalBackoffDoublings));
    ++consecutiveRefusals_;
}

std::string_view MinionHealth::ejectionReason(Duration serviceLatency) const
{
    if (state_ == State::Ejected)
        return {};
    const bool returning = state_ == State::Returning;
    if (consecutiveFailures_ >= (returning ? failuresToEjectReturning : failuresToEject))
        return "failing";
    const bool hasEnoughSamples = samples_ >= (returning ? samplesToDetectSlowReturning : samplesToDetectSlow);
    if (hasEnoughSamples && serviceLatency > Duration::zero() && latency_ > serviceLatency * slowFactor)
        return "slow";
    return {};
}

void MinionHealth::eject(TimePoint now)
{
    if (ejections_ > 0 && now - returnedAt_ > ejectionCountResetTime)
        ejections_ = 0;
    const Duration time = std::min<Duration>(initialEjectionTime * (1LL << std::min(ejections_, 10U)), maxEjectionTime);
    ++ejections_;
    state_ = State::Ejected;
    ejectedUntil_ = now + time;
}

void MinionHealth::update(TimePoint now)
{
    if (backingOff_ && now >= backoffUntil_)
        backingOff_ = false;
    if (state_ != State::Ejected || now < ejectedUntil_)
        return;
    state_ = State::Returning;
    returnedAt_ = now;
    returnAllowance_ = 1;
    consecutiveFailures_ = 0;
    samples_ = 0;
    latency_ = {};
}

std::uint32_t MinionHealth::allowance(std::uint32_t healthyAllowance) const
{
    switch (state_) {
    case State::Healthy:
        return healthyAllowance;
    case State::Ejected:
        return 0;
    case State::Returning:
        return std::min(healthyAllowance, returnAllowance_);
    }
    return 0;
}

} // namespace Pistachio::Routing
