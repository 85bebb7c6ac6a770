#pragma once

#include "controlnode/directory.h"
#include "controlnode/peercalls.h"
#include "controlnode/zonehost.h"

#include <map>
#include <memory>
#include <string_view>

namespace Pistachio::Controlnode
{

/// Hands requests for a zone to its leader: to the zone hosted here when it leads, or else to another instance.
class ZoneRouter
{
public:
    using Zones = std::map<ZoneId, std::unique_ptr<ZoneHost>>;

    /// \param ownZone the zone of requests that name none
    /// \param zones the zones hosted here
    ZoneRouter(ZoneId ownZone, const Zones &zones, const Directory &directory, PeerCalls &calls);

    /// Serves `/zone/propose`, `/zone/subscribe` and `/zone/outcome` of the internal port.
    void serveInternal(TimePoint now, Transport::Request request, const Transport::Responder &responder);

    /// Serves `/v1/worker/sync` of the worker port.
    void serveWorker(TimePoint now, const Transport::Request &request, const Transport::Responder &responder);

    /// Proposes a command of an operator to the leader of \p zone.
    void propose(TimePoint now, const ZoneId &zone, const Wire::ZoneCommand &command, const ZoneHost::ZoneDone &done);

private:
    [[nodiscard]] ZoneId zoneOf(const Transport::Request &request) const;
    [[nodiscard]] ZoneHost *led(const ZoneId &zone) const;
    [[nodiscard]] const Directory::Instance *leaderOf(const ZoneId &zone) const;
    void serveHere(TimePoint now, ZoneHost &zone, const Transport::Request &request,
                   const Transport::Responder &responder);
    void forward(TimePoint now, const ZoneId &zone, Transport::Request request, const Transport::Responder &responder);

    const ZoneId ownZone_;
    const Zones &zones_;
    const Directory &directory_;
    PeerCalls &calls_;
    std::size_t attempts_ = 0;
};

} // namespace Pistachio::Controlnode
