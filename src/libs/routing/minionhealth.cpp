#include "routing/minionhealth.h"

#include <algorithm>

namespace Pistachio::Routing
{

namespace
{
constexpr std::uint32_t failuresToEject = 5;
/// One failure on return is enough: the minion has failed before.
constexpr std::uint32_t failuresToEjectAgain = 1;
constexpr std::uint32_t samplesToJudge = 10;
constexpr std::uint32_t samplesToJudgeAgain = 2;
constexpr std::uint32_t returnCompleteAllowance = 8;
constexpr Duration firstEjection = 5s;
constexpr Duration longestEjection = 60s;
/// A minion that behaved this long after its return starts again with the shortest ejection.
constexpr Duration forgetAfter = 120s;
constexpr Duration firstFullTime = 10ms;
constexpr std::uint32_t maxFullDoublings = 8;
constexpr int smoothing = 8;
} // namespace

void MinionHealth::succeeded(Duration latency)
{
    consecutiveFailures_ = 0;
    refusals_ = 0;
    latency_ = samples_ == 0 ? latency : latency_ + (latency - latency_) / smoothing;
    ++samples_;
    if (state_ != State::Returning)
        return;
    if (++returnAllowance_ >= returnCompleteAllowance)
        state_ = State::Healthy;
}

void MinionHealth::failed()
{
    ++consecutiveFailures_;
}

void MinionHealth::refused(TimePoint now)
{
    full_ = true;
    fullUntil_ = now + firstFullTime * (1LL << std::min(refusals_, maxFullDoublings));
    ++refusals_;
}

std::string_view MinionHealth::ejectionReason(Duration serviceLatency) const
{
    if (state_ == State::Ejected)
        return {};
    const bool returning = state_ == State::Returning;
    if (consecutiveFailures_ >= (returning ? failuresToEjectAgain : failuresToEject))
        return "failing";
    const bool judged = samples_ >= (returning ? samplesToJudgeAgain : samplesToJudge);
    if (judged && serviceLatency > Duration::zero() && latency_ > serviceLatency * slowFactor)
        return "slow";
    return {};
}

void MinionHealth::eject(TimePoint now)
{
    if (ejections_ > 0 && now - returnedAt_ > forgetAfter)
        ejections_ = 0;
    const Duration time = std::min<Duration>(firstEjection * (1LL << std::min(ejections_, 10U)), longestEjection);
    ++ejections_;
    state_ = State::Ejected;
    ejectedUntil_ = now + time;
}

void MinionHealth::update(TimePoint now)
{
    if (full_ && now >= fullUntil_)
        full_ = false;
    if (state_ != State::Ejected || now < ejectedUntil_)
        return;
    state_ = State::Returning;
    returnedAt_ = now;
    returnAllowance_ = 1;
    consecutiveFailures_ = 0;
    samples_ = 0;
    latency_ = {};
}

std::uint32_t MinionHealth::allowance(std::uint32_t full) const
{
    switch (state_) {
    case State::Healthy:
        return full;
    case State::Ejected:
        return 0;
    case State::Returning:
        return std::min(full, returnAllowance_);
    }
    return 0;
}

} // namespace Pistachio::Routing
