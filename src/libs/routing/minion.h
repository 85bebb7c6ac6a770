#pragma once

#include "core/identifier.h"

#include <cstdint>
#include <string>

namespace Pistachio::Routing
{

/// The announcement that a minion sends to each entry of its zone every 2 s.
struct MinionAnnouncement {
    MinionId id;
    ServiceId service;
    std::string address; ///< `<ip>:<port>` of its HTTP/1.1 server
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::uint32_t slotsInUse = 0; ///< by all entries together
    std::uint32_t credits = 0; ///< slots granted to this entry; 0 when the minion does not grant slots
};

} // namespace Pistachio::Routing
