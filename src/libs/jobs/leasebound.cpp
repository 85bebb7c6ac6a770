#include "jobs/leasebound.h"

#include <algorithm>

namespace Pistachio::Jobs
{

void LeaseBound::grant(TimePoint expiry)
{
    granted_ = std::max(granted_, expiry);
}

void LeaseBound::awaitFence(TimePoint expiry)
{
    unfenced_ = std::max(unfenced_, expiry);
}

void LeaseBound::fenceSeen(TimePoint expiry)
{
    assumed_ = std::max(assumed_, expiry);
    unfenced_ = {};
}

void LeaseBound::assumeLaterIncarnation(TimePoint expiry)
{
    laterIncarnation_ = std::max(laterIncarnation_, expiry);
}

void LeaseBound::disproveLaterIncarnation()
{
    laterIncarnation_ = {};
}

TimePoint LeaseBound::knownIncarnationEnd() const
{
    return std::max({granted_, assumed_, unfenced_}) + leaseMargin;
}

TimePoint LeaseBound::end() const
{
    return std::max(knownIncarnationEnd(), laterIncarnation_ + leaseMargin);
}

Duration longestTime(Duration lease)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(lease.count()) / minClockRate));
}

} // namespace Pistachio::Jobs
