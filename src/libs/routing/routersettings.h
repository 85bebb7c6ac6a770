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
    std::string attemptPrefix; ///< unique for each start of the process
    std::size_t maxQueued = 1024;
    /// A minion that announces every 2 s and missed two announcements is gone.
    Duration minionSilenceTimeout = 6s;
    /// A larger share of a minion is used only after the other entries had two polls of 3 s to learn of theirs.
    Duration shareGrowthDelay = 6s;
    /// Longest wait for a free slot before an entry of another zone of the region is asked.
    Duration zoneForwardThreshold = 50ms;
    Duration claimTimeout = 2s;
    /// An attempt of an idempotent request is given up after this multiple of the service's smoothed latency.
    std::uint32_t attemptTimeoutFactor = 10;
    Duration minAttemptTimeout = 200ms;
    bool admissionControl = true; ///< off only for the baselines of measurements
};

} // namespace Pistachio::Routing
