#include "entrynode/peerlinks.h"

#include "settings/entrysettings.h"
#include "transport/eventloop.h"
#include "transport/http2client.h"

#include <entry.pb.h>

namespace Pistachio::Entrynode
{

using namespace Transport;

namespace
{
/// Reports to other zones cross billed links.
constexpr Duration otherZoneInterval = 1s;
constexpr Duration announceTimeout = 1s;
/// An entry that restarts keeps its place; one that was replaced by another instance is forgotten.
constexpr Duration forgetAfter = 10min;
} // namespace

struct PeerLinks::Peer {
    Peer(EventLoop &loop, ZoneId peerZone, const Endpoint &internal, std::string minionAddress, std::uint64_t seed)
        : zone(std::move(peerZone))
        , minions(std::move(minionAddress))
        , client(loop, internal, {}, seed)
    {
    }
    ZoneId zone;
    std::string minions;
    bool announcing = false;
    bool isConfigured = false; ///< named in the settings
    TimePoint listed; ///< by the zone leader
    Http2Client client; // the last member: its calls end on destruction and use the others
};

PeerLinks::PeerLinks(EventLoop &loop, const Settings::EntrySettings &settings)
    : loop_(loop)
    , self_(settings.instance)
    , zone_(settings.zone)
{
    for (const auto &peer : settings.peers)
        add(peer.id, peer.zone, peer.internal.toString(), peer.minions.toString());
    for (const auto &[id, peer] : peers_)
        peer->isConfigured = true;
}

PeerLinks::~PeerLinks()
{
    closing_ = true;
    peers_.clear();
}

void PeerLinks::add(const InstanceId &id, const ZoneId &zone, const std::string &internal, const std::string &minions)
{
    const auto endpoint = Endpoint::parse(internal);
    if (id == self_ || !endpoint || endpoint.value().port == 0)
        return;
    std::unique_ptr<Peer> &peer = peers_[id];
    if (peer && peer->client.peer() == endpoint.value()) {
        peer->minions = minions;
        return;
    }
    const bool wasConfigured = peer && peer->isConfigured;
    peer = std::make_unique<Peer>(loop_, zone, endpoint.value(), minions, std::hash<InstanceId>{}(id));
    peer->isConfigured = wasConfigured;
}

void PeerLinks::viewChanged(TimePoint now, const std::vector<Wire::EntryInstance> &entries)
{
    for (const Wire::EntryInstance &entry : entries) {
        add(InstanceId(entry.id()), ZoneId(entry.zone()), entry.internal(), entry.minions());
        if (const auto peer = peers_.find(InstanceId(entry.id())); peer != peers_.end())
            peer->second->listed = now;
    }
    std::erase_if(peers_, [now](const auto &peer) {
        return !peer.second->isConfigured && now - peer.second->listed > forgetAfter;
    });
}

void PeerLinks::announce(TimePoint now, const Wire::EntryAnnounce &announce)
{
    const bool otherZones = now - announcedToOtherZones_ >= otherZoneInterval;
    if (otherZones)
        announcedToOtherZones_ = now;
    for (const auto &[id, peer] : peers_) {
        if (peer->zone == zone_ || otherZones)
            send(*peer, announce);
    }
}

void PeerLinks::announceToAll(const Wire::EntryAnnounce &announce)
{
    for (const auto &[id, peer] : peers_) {
        peer->announcing = false;
        send(*peer, announce);
    }
}

void PeerLinks::send(Peer &peer, const Wire::EntryAnnounce &announce)
{
    // A peer that does not answer gets one report at a time instead of a growing queue.
    if (peer.announcing)
        return;
    peer.announcing = true;
    peer.client.call({"POST", "/entry/announce", {}, announce.SerializeAsString()}, announceTimeout,
                     [this, &peer](const CallResult &) {
                         if (!closing_)
                             peer.announcing = false;
                     });
}

void PeerLinks::forward(const InstanceId &peer, const Wire::ForwardedRequest &request, Duration timeout,
                        ForwardDone done)
{
    const auto known = peers_.find(peer);
    if (known == peers_.end()) {
        done(CallError{failure(ErrorCode::Unavailable, "entry " + peer.value() + " is not known"), false});
        return;
    }
    known->second->client.call({"POST", "/entry/forward", {}, request.SerializeAsString()}, timeout,
                               [this, done = std::move(done)](CallResult result) {
                                   if (!closing_)
                                       done(std::move(result));
                               });
}

std::vector<std::string> PeerLinks::minionAddresses() const
{
    std::vector<std::string> result;
    for (const auto &[id, peer] : peers_) {
        const auto endpoint = Endpoint::parse(peer->minions);
        if (peer->zone == zone_ && endpoint && endpoint.value().port != 0)
            result.push_back(peer->minions);
    }
    return result;
}

} // namespace Pistachio::Entrynode
