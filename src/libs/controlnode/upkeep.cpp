#include "controlnode/upkeep.h"

#include "cellstate/cellstate.h"

#include <cell.pb.h>

#include <chrono>
#include <utility>

namespace Pistachio::Controlnode
{

namespace
{
constexpr Duration releaseInterval = 1s;
constexpr Duration proposalLimit = 3s;
constexpr Duration callLimit = 4s;
} // namespace

Upkeep::Upkeep(Storage::GroupHost &cell, const ZoneRouter::Zones &zones, const Directory &directory, PeerCalls &calls)
    : cell_(cell)
    , zones_(zones)
    , directory_(directory)
    , calls_(calls)
    , cellMembers_(ZoneId())
{
    for (const auto &[id, zone] : zones_)
        zoneMembers_.emplace(id, MembershipDriver(id));
}

void Upkeep::tick(TimePoint now, const Cellstate::CellState &state)
{
    cellMembers_.tick(now, cell_, state.instances());
    for (auto &[id, members] : zoneMembers_)
        members.tick(now, zones_.at(id)->host(), state.instances());
    if (now < notBefore_)
        return;
    notBefore_ = now + releaseInterval;
    for (const auto &[id, zone] : zones_)
        release(now, *zone, state);
}

void Upkeep::release(TimePoint now, ZoneHost &zone, const Cellstate::CellState &state)
{
    const auto bookings = zone.releasable(now, state);
    if (bookings.empty() || releasing_[zone.zone()])
        return;
    using namespace std::chrono;
    const auto id = zone.zone().value();
    Wire::CellCommand command;
    // The start time keeps the ids of two processes of one instance apart.
    command.set_request_id("release/" + id + '/' + std::to_string(zone.host().group().term()) + '/'
                           + std::to_string(now.time_since_epoch().count()) + '/' + std::to_string(++releases_));
    command.set_author("zone " + id);
    command.set_proposed_unix_ms(duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
    auto &release = *command.mutable_release_bookings();
    release.set_zone(id);
    release.set_bookings_revision(state.bookingsRevision());
    for (const auto &booking : bookings)
        release.add_bookings(booking.value());
    propose(now, zone.zone(), command);
}

void Upkeep::propose(TimePoint now, const ZoneId &zone, const Wire::CellCommand &command)
{
    releasing_[zone] = true;
    if (cell_.canAnswer(now)) {
        cell_.propose(now, command.SerializeAsString(), proposalLimit,
                      [this, zone](const Result<std::string> &) { releasing_[zone] = false; });
        return;
    }
    const auto *leader = directory_.find(cell_.group().leaderHint());
    if (leader == nullptr || cell_.group().isLeader()) {
        releasing_[zone] = false;
        return;
    }
    calls_.call(now, leader->internal, {"POST", "/cell/propose", {}, command.SerializeAsString()}, callLimit,
                [this, zone](const Transport::CallResult &) { releasing_[zone] = false; });
}

void Upkeep::serve(TimePoint now, const Transport::Request &request, const Transport::Responder &responder)
{
    Wire::CellCommand command;
    // Operators' changes have their own way, which checks the token.
    if (!command.ParseFromString(request.body) || !command.has_release_bookings()) {
        responder.respond({400, {}, "not a command of a zone\n"});
        return;
    }
    if (!cell_.canAnswer(now)) {
        responder.respond({503, {}, "the cell has no leader with a quorum here\n"});
        return;
    }
    cell_.propose(now, command.SerializeAsString(), proposalLimit, [responder](Result<std::string> answer) {
        if (answer)
            responder.respond({200, {}, std::move(answer.value())});
        else
            responder.respond({503, {}, answer.error().message + '\n'});
    });
}

} // namespace Pistachio::Controlnode
