#pragma once

#include "controlnode/directory.h"
#include "controlnode/membershipdriver.h"
#include "controlnode/peercalls.h"
#include "controlnode/zonerouter.h"

#include <map>

namespace Pistachio::Wire
{
class CellCommand;
}

namespace Pistachio::Controlnode
{

/// What leaders do without being asked: bring memberships in line with the added instances, and have the cell forget
/// bookings that have no task left.
class Upkeep
{
public:
    Upkeep(Storage::GroupHost &cell, const ZoneRouter::Zones &zones, const Directory &directory, PeerCalls &calls);

    void tick(TimePoint now, const Cellstate::CellState &state);

    /// Serves `/cell/propose` of the internal port: a command of a zone leader.
    void serve(TimePoint now, const Transport::Request &request, const Transport::Responder &responder);

private:
    void release(TimePoint now, ZoneHost &zone, const Cellstate::CellState &state);
    void propose(TimePoint now, const ZoneId &zone, const Wire::CellCommand &command);

    Storage::GroupHost &cell_;
    const ZoneRouter::Zones &zones_;
    const Directory &directory_;
    PeerCalls &calls_;
    MembershipDriver cellMembers_;
    std::map<ZoneId, MembershipDriver> zoneMembers_;
    std::map<ZoneId, bool> releasing_; ///< zones whose last release has no answer yet
    TimePoint notBefore_;
    std::uint64_t releases_ = 0;
};

} // namespace Pistachio::Controlnode
