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

/// What the other entries last said they can take over.
class PeerTable
{
public:
    /// How far a request may travel.
    enum class Distance : std::uint8_t {
        SameZone,
        SameRegion,
        OtherRegion,
    };

    explicit PeerTable(EntryInfo self);

    void recordReport(TimePoint now, const PeerReport &report);
    /// Forgets peers that were silent.
    void removeSilentPeers(TimePoint now);
    /// Chooses a peer that reported free slots, the nearest first, and takes one of them until `ended`.
    /// \param excluded peers already tried
    /// \return nothing when no peer within reach has a free slot.
    std::optional<InstanceId> acquireSlot(const ServiceId &service, Distance maxDistance,
                                          const std::set<InstanceId> &excluded, RandomSource &random);
    /// A request handed to the peer is over.
    void releaseSlot(const InstanceId &peer, const ServiceId &service);
    /// The peer refused: its report is out of date.
    void recordRefusal(const InstanceId &peer, const ServiceId &service);
    /// \return how far away the peer is.
    [[nodiscard]] Distance distanceTo(const InstanceId &peer) const;

private:
    struct Load {
        std::uint32_t reportedFree = 0;
        std::uint32_t inFlight = 0; ///< handed to the peer by this entry
        std::uint32_t inFlightWhenReported = 0;

        /// \return free slots now, had nobody but this entry sent since the report.
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
