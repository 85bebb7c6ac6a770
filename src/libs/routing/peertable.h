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
    enum class Reach : std::uint8_t {
        Zone,
        Region,
        Everywhere,
    };

    explicit PeerTable(EntryInfo self);

    void report(TimePoint now, const PeerReport &report);
    /// Forgets peers that were silent.
    void expire(TimePoint now);
    /// Chooses a peer that reported free slots, the nearest first, and takes one of them until `ended`.
    /// \param excluded peers already tried
    /// \return nothing when no peer within reach has a free slot.
    std::optional<InstanceId> take(const ServiceId &service, Reach reach, const std::set<InstanceId> &excluded,
                                   RandomSource &random);
    /// A request handed to the peer is over.
    void ended(const InstanceId &peer, const ServiceId &service);
    /// The peer refused: its report is out of date.
    void refused(const InstanceId &peer, const ServiceId &service);
    /// \return how far away the peer is.
    [[nodiscard]] Reach distance(const InstanceId &peer) const;

private:
    struct Load {
        std::uint32_t reportedFree = 0;
        std::uint32_t inFlight = 0; ///< handed to the peer by this entry
        std::uint32_t inFlightWhenReported = 0;

        /// \return free slots now, had nobody but this entry sent since the report.
        [[nodiscard]] std::uint32_t free() const;
    };
    struct Peer {
        EntryInfo info;
        TimePoint heard;
        std::map<ServiceId, Load> loads;
    };

    [[nodiscard]] std::vector<InstanceId> free(const ServiceId &service, Reach distance,
                                               const std::set<InstanceId> &excluded) const;
    [[nodiscard]] Reach distance(const EntryInfo &peer) const;

    EntryInfo self_;
    std::map<InstanceId, Peer> peers_;
};

} // namespace Pistachio::Routing
