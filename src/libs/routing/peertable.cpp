#include "routing/peertable.h"

#include "core/random.h"

#include <algorithm>

namespace Pistachio::Routing
{

namespace
{
/// Peers report every second; one that missed three reports is taken as unreachable.
constexpr Duration peerSilenceTimeout = 3500ms;
} // namespace

PeerTable::PeerTable(EntryInfo self)
    : self_(std::move(self))
{
}

void PeerTable::recordReport(TimePoint now, const PeerReport &report)
{
    if (report.draining) {
        peers_.erase(report.entry.id);
        return;
    }
    Peer &peer = peers_[report.entry.id];
    peer.info = report.entry;
    peer.lastReported = now;
    for (auto &[service, load] : peer.loads)
        load.reportedFree = 0;
    for (const ServiceLoad &reported : report.services) {
        Load &load = peer.loads[reported.service];
        load.reportedFree = reported.freeSlots;
        load.inFlightWhenReported = load.inFlight;
    }
}

void PeerTable::removeSilentPeers(TimePoint now)
{
    std::erase_if(peers_, [now](const auto &peer) { return now - peer.second.lastReported > peerSilenceTimeout; });
}

std::uint32_t PeerTable::Load::freeSlots() const
{
    const std::uint32_t possible = reportedFree + inFlightWhenReported;
    return possible - std::min(possible, inFlight);
}

PeerTable::Distance PeerTable::distanceTo(const EntryInfo &peer) const
{
    if (peer.zone == self_.zone)
        return Distance::SameZone;
    return peer.region == self_.region ? Distance::SameRegion : Distance::OtherRegion;
}

std::vector<InstanceId> PeerTable::peersWithFreeSlots(const ServiceId &service, Distance distance,
                                                      const std::set<InstanceId> &excluded) const
{
    std::vector<InstanceId> result;
    for (const auto &[id, peer] : peers_) {
        const auto load = peer.loads.find(service);
        if (distanceTo(peer.info) == distance && load != peer.loads.end() && load->second.freeSlots() > 0
            && !excluded.contains(id))
            result.push_back(id);
    }
    return result;
}

std::optional<InstanceId> PeerTable::acquireSlot(const ServiceId &service, Distance maxDistance,
                                                 const std::set<InstanceId> &excluded, RandomSource &random)
{
    std::vector<InstanceId> candidates;
    for (const Distance distance : {Distance::SameZone, Distance::SameRegion, Distance::OtherRegion}) {
        if (candidates.empty() && distance <= maxDistance)
            candidates = peersWithFreeSlots(service, distance, excluded);
    }
    if (candidates.empty())
        return std::nullopt;
    const InstanceId &oneCandidate = candidates[random.below(candidates.size())];
    const InstanceId &otherCandidate = candidates[random.below(candidates.size())];
    const auto freeSlotsOf
        = [this, &service](const InstanceId &peer) { return peers_.at(peer).loads.at(service).freeSlots(); };
    const InstanceId &chosen = freeSlotsOf(oneCandidate) >= freeSlotsOf(otherCandidate) ? oneCandidate : otherCandidate;
    ++peers_.at(chosen).loads.at(service).inFlight;
    return chosen;
}

void PeerTable::releaseSlot(const InstanceId &peer, const ServiceId &service)
{
    const auto known = peers_.find(peer);
    if (known == peers_.end())
        return;
    Load &load = known->second.loads[service];
    load.inFlight -= std::min(load.inFlight, 1U);
}

void PeerTable::recordRefusal(const InstanceId &peer, const ServiceId &service)
{
    const auto known = peers_.find(peer);
    if (known == peers_.end())
        return;
    Load &load = known->second.loads[service];
    load.reportedFree = 0;
    load.inFlightWhenReported = 0;
}

PeerTable::Distance PeerTable::distanceTo(const InstanceId &peer) const
{
    const auto known = peers_.find(peer);
    return known == peers_.end() ? Distance::OtherRegion : distanceTo(known->second.info);
}

} // namespace Pistachio::Routing
