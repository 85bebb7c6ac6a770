#pragma once

#include "core/identifier.h"
#include "core/time.h"
#include "transport/eventloop.h"

#include <map>
#include <string>
#include <vector>

namespace Pistachio::Entrynode
{

class ZoneClient;

/// Makes what an earlier start of this entry has claimed and not finished `unknown`, before this start claims anything.
/// The zone leader does that only for entries that fall silent, and an entry that restarts at once never does.
class ClaimSettlement
{
public:
    ClaimSettlement(Transport::EventLoop &loop, ZoneClient &zones, InstanceId entry);

    /// Settles a zone that is not settled yet.
    /// \return whether the zone is settled, so that keys can be claimed there.
    bool ensure(const ZoneId &zone);
    [[nodiscard]] bool isSettled(const ZoneId &zone) const;
    [[nodiscard]] std::vector<ZoneId> settledZones() const;

private:
    struct Zone {
        bool settled = false;
        Transport::Timer retry;
    };

    void settle(const ZoneId &zone);

    Transport::EventLoop &loop_;
    ZoneClient &zones_;
    InstanceId entry_;
    std::map<ZoneId, Zone> state_;
};

} // namespace Pistachio::Entrynode
