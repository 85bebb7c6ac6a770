#pragma once

#include "core/identifier.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Pistachio::Routing
{

/// A live entry, as reported by the zone leader or by the entry itself.
struct EntryInfo {
    InstanceId id;
    ZoneId zone;
    std::string region; ///< zones of one region are close to each other
};

/// The free slots and waiting requests of an entry for one service.
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
