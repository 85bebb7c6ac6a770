#include "jobs/retrybackoff.h"

#include <algorithm>

namespace Pistachio::Jobs
{

namespace
{
constexpr std::uint32_t maxDoublings = 5; ///< from the shortest delay to the longest
constexpr double jitter = 0.25; ///< share of the delay
} // namespace

RetryBackoff::RetryBackoff(std::uint64_t seed)
    : random_(seed)
{
}

Duration RetryBackoff::delay(std::uint32_t failures)
{
    const auto doublings = std::min(failures == 0 ? 0 : failures - 1, maxDoublings);
    const auto nominal = std::min(shortestDelay * (std::int64_t{1} << doublings), longestDelay);
    const double factor = 1 - jitter + 2 * jitter * random_.fraction();
    return Duration(static_cast<std::int64_t>(static_cast<double>(nominal.count()) * factor));
}

} // namespace Pistachio::Jobs
