#pragma once

#include "core/identifier.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Pistachio::Routing
{

/// A live entry as the zone leader or the entry itself reports it.
struct EntryInfo {
    InstanceId id;
    ZoneId zone;
    std::string region; ///< zones of one region are close to each other
};

/// What an entry can take over for one service.
struct ServiceLoad {
    ServiceId service;
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
};

/// An entry's report to the other entries.
struct PeerReport {
    EntryInfo entry;
    bool draining = false;
    std::vector<ServiceLoad> services;
};

} // namespace Pistachio::Routing
