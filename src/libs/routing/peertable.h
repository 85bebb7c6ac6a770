#pragma once

#include "core/time.h"
#include "routing/entryview.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Pistachio
{
class RandomSource;
}

namespace Pistachio::Routing
{

/// The free slots that the other entries last reported.
class PeerTable
{
public:
    /// How far away another entry is.
    enum class Distance : std::uint8_t {
        SameZone,
        SameRegion,
        OtherRegion,
    };

    explicit PeerTable(EntryInfo self);

    void recordReport(TimePoint now, const PeerReport &report);
    /// Removes peers whose reports stopped.
    void removeSilentPeers(TimePoint now);
    /// Chooses a peer with free slots, the nearest first, and counts a slot as used until `releaseSlot`.
    /// \param excluded peers already tried
    /// \return the peer; nothing when no peer within \p maxDistance has a free slot.
    std::optional<InstanceId> acquireSlot(const ServiceId &service, Distance maxDistance,
                                          const std::set<InstanceId> &excluded, RandomSource &random);
    /// Frees the slot of an ended request.
    void releaseSlot(const InstanceId &peer, const ServiceId &service);
    /// Records that the peer refused a request: it has no free slots until its next report.
    void recordRefusal(const InstanceId &peer, const ServiceId &service);
    /// \return the distance of the peer; `OtherRegion` when it is unknown.
    [[nodiscard]] Distance distanceTo(const InstanceId &peer) const;

private:
    struct Load {
        std::uint32_t reportedFree = 0;
        std::uint32_t inFlight = 0; ///< requests that this entry has in flight at the peer
        std::uint32_t inFlightWhenReported = 0;

        /// \return the free slots, assuming that since the report only this entry has sent requests to the peer.
        [[nodiscard]] std::uint32_t freeSlots() const;
    };
    struct Peer {
        EntryInfo info;
        TimePoint lastReported;
        std::map<ServiceId, Load> loads;
    };

    [[nodiscard]] std::vector<InstanceId> peersWithFreeSlots(const ServiceId &service, Distance distance,
                                                             const std::set<InstanceId> &excluded) const;
    [[nodiscard]] Distance distanceTo(const EntryInfo &peer) const;

    EntryInfo self_;
    std::map<InstanceId, Peer> peers_;
};

} // namespace Pistachio::Routing
