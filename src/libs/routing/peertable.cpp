#include "routing/peertable.h"

#include "core/random.h"

#include <algorithm>

namespace Pistachio::Routing
{

namespace
{
/// Reports come every second; three lost ones mean that the peer can't be reached.
constexpr Duration peerSilence = 3500ms;
} // namespace

PeerTable::PeerTable(EntryInfo self)
    : self_(std::move(self))
{
}

void PeerTable::report(TimePoint now, const PeerReport &report)
{
    if (report.draining) {
        peers_.erase(report.entry.id);
        return;
    }
    Peer &peer = peers_[report.entry.id];
    peer.info = report.entry;
    peer.heard = now;
    for (auto &[service, load] : peer.loads)
        load.reportedFree = 0;
    for (const ServiceLoad &reported : report.services) {
        Load &load = peer.loads[reported.service];
        load.reportedFree = reported.freeSlots;
        load.inFlightWhenReported = load.inFlight;
    }
}

void PeerTable::expire(TimePoint now)
{
    std::erase_if(peers_, [now](const auto &peer) { return now - peer.second.heard > peerSilence; });
}

std::uint32_t PeerTable::Load::free() const
{
    const std::uint32_t possible = reportedFree + inFlightWhenReported;
    return possible - std::min(possible, inFlight);
}

PeerTable::Reach PeerTable::distance(const EntryInfo &peer) const
{
    if (peer.zone == self_.zone)
        return Reach::Zone;
    return peer.region == self_.region ? Reach::Region : Reach::Everywhere;
}

std::vector<InstanceId> PeerTable::free(const ServiceId &service, Reach wanted,
                                        const std::set<InstanceId> &excluded) const
{
    std::vector<InstanceId> result;
    for (const auto &[id, peer] : peers_) {
        const auto load = peer.loads.find(service);
        if (distance(peer.info) == wanted && load != peer.loads.end() && load->second.free() > 0
            && !excluded.contains(id))
            result.push_back(id);
    }
    return result;
}

std::optional<InstanceId> PeerTable::take(const ServiceId &service, Reach reach, const std::set<InstanceId> &excluded,
                                          RandomSource &random)
{
    std::vector<InstanceId> candidates;
    for (const Reach wanted : {Reach::Zone, Reach::Region, Reach::Everywhere}) {
        if (candidates.empty() && wanted <= reach)
            candidates = free(service, wanted, excluded);
    }
    if (candidates.empty())
        return std::nullopt;
    const InstanceId &first = candidates[random.below(candidates.size())];
    const InstanceId &second = candidates[random.below(candidates.size())];
    const auto freeOf = [this, &service](const InstanceId &peer) { return peers_.at(peer).loads.at(service).free(); };
    const InstanceId &chosen = freeOf(first) >= freeOf(second) ? first : second;
    ++peers_.at(chosen).loads.at(service).inFlight;
    return chosen;
}

void PeerTable::ended(const InstanceId &peer, const ServiceId &service)
{
    const auto known = peers_.find(peer);
    if (known == peers_.end())
        return;
    Load &load = known->second.loads[service];
    load.inFlight -= std::min(load.inFlight, 1U);
}

void PeerTable::refused(const InstanceId &peer, const ServiceId &service)
{
    const auto known = peers_.find(peer);
    if (known == peers_.end())
        return;
    Load &load = known->second.loads[service];
    load.reportedFree = 0;
    load.inFlightWhenReported = 0;
}

PeerTable::Reach PeerTable::distance(const InstanceId &peer) const
{
    const auto known = peers_.find(peer);
    return known == peers_.end() ? Reach::Everywhere : distance(known->second.info);
}

} // namespace Pistachio::Routing
