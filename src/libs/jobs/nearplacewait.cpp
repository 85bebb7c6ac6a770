#include "jobs/nearplacewait.h"

#include <algorithm>

namespace Pistachio::Jobs
{

namespace
{

/// \return the time that a run takes longer away from the data.
Duration remoteExcess(const NearPlaceOffer &offer)
{
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(offer.runTime.count()) * std::max(0.0, offer.remotePenalty - 1)));
}

} // namespace

NearPlaceWait::Decision NearPlaceWait::decide(const NearPlaceOffer &offer, TimePoint now)
{
    const auto excess = remoteExcess(offer);
    Decision decision;
    // All waits of a step together are no longer than the excess, so that a late end of the run near the data costs at
    // most as much again.
    decision.until = std::min(offer.readySince + excess, offer.latestStart);
    if (!offer.nearFreeAt)
        return decision;
    decision.gain = excess - std::max(Duration::zero(), *offer.nearFreeAt - now);
    const bool isInTime = now < decision.until && *offer.nearFreeAt <= decision.until;
    const bool isRemoteInTime = now + excess <= offer.latestStart;
    decision.waits = decision.gain > Duration::zero() && isInTime && (offer.isRoomScarce || !isRemoteInTime);
    return decision;
}

} // namespace Pistachio::Jobs
