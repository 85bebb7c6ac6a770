#pragma once

#include "core/time.h"
#include "routing/entryview.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Pistachio::Routing
{

struct RouterSettings {
    EntryInfo self;
    std::string attemptPrefix; ///< start of all attempt IDs; unique for each start of the process
    std::size_t maxQueued = 1024;
    /// A minion is removed after this time without an announcement. Minions announce themselves every 2 s, so it has
    /// missed two.
    Duration minionSilenceTimeout = 6s;
    /// Delay before a larger share of a minion is used: two polls of 3 s, so that the other entries know of their
    /// smaller shares.
    Duration shareGrowthDelay = 6s;
    /// A request whose expected wait for a slot is longer is forwarded to another zone of the region, if it has free
    /// slots.
    Duration zoneForwardThreshold = 50ms;
    Duration claimTimeout = 2s;
    /// An attempt of an idempotent request times out after this multiple of the service's smoothed latency.
    std::uint32_t attemptTimeoutFactor = 10;
    Duration minAttemptTimeout = 200ms;
    bool admissionControl = true; ///< off only in baselines of the benchmark
};

} // namespace Pistachio::Routing
