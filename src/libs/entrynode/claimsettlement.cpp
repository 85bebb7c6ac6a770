#include "entrynode/claimsettlement.h"

#include "entrynode/zoneclient.h"

#include <zone.pb.h>

namespace Pistachio::Entrynode
{

namespace
{
constexpr Duration callTimeout = 3s;
constexpr Duration retryPause = 500ms;
} // namespace

ClaimSettlement::ClaimSettlement(Transport::EventLoop &loop, ZoneClient &zones, InstanceId entry)
    : loop_(loop)
    , zones_(zones)
    , entry_(std::move(entry))
{
}

bool ClaimSettlement::ensure(const ZoneId &zone)
{
    const auto [position, isNew] = state_.try_emplace(zone);
    if (isNew)
        settle(zone);
    return position->second.settled;
}

bool ClaimSettlement::isSettled(const ZoneId &zone) const
{
    const auto known = state_.find(zone);
    return known != state_.end() && known->second.settled;
}

std::vector<ZoneId> ClaimSettlement::settledZones() const
{
    std::vector<ZoneId> result;
    for (const auto &[zone, state] : state_) {
        if (state.settled)
            result.push_back(zone);
    }
    return result;
}

void ClaimSettlement::settle(const ZoneId &zone)
{
    Wire::ZoneCommand command;
    command.mutable_entries_silent()->add_entries(entry_.value());
    zones_.propose(zone, command, callTimeout, [this, zone](const Result<Wire::ZoneResult> &result) {
        Zone &state = state_.at(zone);
        if (result && result.value().code() == Wire::ZONE_RESULT_ACCEPTED)
            state.settled = true;
        else
            state.retry = loop_.callAfter(retryPause, [this, zone] { settle(zone); });
    });
}

} // namespace Pistachio::Entrynode
