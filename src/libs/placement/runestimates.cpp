#include "placement/runestimates.h"

#include <algorithm>
#include <cmath>

namespace Pistachio::Placement
{

namespace
{
// Work without a declared run time and without history counts as long, so that it is not used for backfill.
constexpr Duration unknownRun = 1h;
// The newest run counts a quarter, so that one outlier does not decide.
constexpr int smoothing = 4;
// Peaks of usage halve in this time.
constexpr double usageHalfLifeSeconds = 300;

std::int64_t decayed(std::int64_t peak, std::int64_t usage, double factor)
{
    return std::max(usage, static_cast<std::int64_t>(static_cast<double>(peak) * factor));
}
} // namespace

Duration RunEstimates::estimate(const BookingId &booking, Duration declared) const
{
    const auto found = smoothed_.find(booking);
    if (found != smoothed_.end())
        return found->second;
    return declared > Duration::zero() ? declared : unknownRun;
}

void RunEstimates::recordCompletion(const BookingId &booking, Duration ran)
{
    const auto [found, added] = smoothed_.try_emplace(booking, ran);
    if (!added)
        found->second += (ran - found->second) / smoothing;
}

void UsagePeak::recordUsage(TimePoint now, const Resources &usage)
{
    const double seconds = std::chrono::duration<double>(now - reported_).count();
    const double factor = std::exp2(-seconds / usageHalfLifeSeconds);
    peak_ = {decayed(peak_.milliCores, usage.milliCores, factor), decayed(peak_.memoryBytes, usage.memoryBytes, factor),
             decayed(peak_.accelerators, usage.accelerators, factor)};
    reported_ = now;
}

} // namespace Pistachio::Placement
