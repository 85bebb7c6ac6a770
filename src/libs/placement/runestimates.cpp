#include "placement/runestimates.h"

#include <algorithm>
#include <cmath>

namespace Pistachio::Placement
{

namespace
{
// Work without a declared run time and without history is treated as long, so that it is not used for backfill.
constexpr Duration unknownRunTime = 1h;
// Exponential smoothing: the newest run has a weight of a quarter, so that one outlier has little effect.
constexpr int smoothingDivisor = 4;
constexpr double usageHalfLifeSeconds = 300;

std::int64_t decayedPeak(std::int64_t peak, std::int64_t usage, double factor)
{
    return std::max(usage, static_cast<std::int64_t>(static_cast<double>(peak) * factor));
}
} // namespace

Duration RunEstimates::estimate(const BookingId &booking, Duration declared) const
{
    const auto found = smoothedRunTimes_.find(booking);
    if (found != smoothedRunTimes_.end())
        return found->second;
    return declared > Duration::zero() ? declared : unknownRunTime;
}

void RunEstimates::recordCompletion(const BookingId &booking, Duration runTime)
{
    const auto [found, added] = smoothedRunTimes_.try_emplace(booking, runTime);
    if (!added)
        found->second += (runTime - found->second) / smoothingDivisor;
}

void UsagePeak::recordUsage(TimePoint now, const Resources &usage)
{
    const double seconds = std::chrono::duration<double>(now - updatedAt_).count();
    const double factor = std::exp2(-seconds / usageHalfLifeSeconds);
    peak_ = {decayedPeak(peak_.milliCores, usage.milliCores, factor),
             decayedPeak(peak_.memoryBytes, usage.memoryBytes, factor),
             decayedPeak(peak_.accelerators, usage.accelerators, factor)};
    updatedAt_ = now;
}

} // namespace Pistachio::Placement
