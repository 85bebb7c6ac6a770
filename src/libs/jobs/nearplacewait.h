#pragma once

#include "core/time.h"

#include <optional>

namespace Pistachio::Jobs
{

/// What is known of a step that could start away from its data now, or near it later.
struct NearPlaceOffer {
    Duration runTime{}; ///< expected near the data
    double remotePenalty = 1; ///< factor on the run time away from it
    std::optional<TimePoint> nearFreeAt; ///< when a place near the data is expected to become free
    TimePoint readySince{}; ///< when the step began to wait
    TimePoint latestStart{}; ///< a later start near the data misses the job's latency objective
    bool isRoomScarce = false; ///< other steps wait for room at the service
};

/// Decides whether a step waits for a place near its data, or takes one away from it now.
///
/// Answers the load in which the minions near the data are busy for a short time while others are free: a rack that
/// many jobs want, or a burst. A wait pays if the task is expected to end earlier with it, and if the job loses nothing
/// by it. Where the job meets its objective either way, it pays only if room is scarce, since a remote run occupies its
/// minion for longer.
class NearPlaceWait
{
public:
    struct Decision {
        bool waits = false;
        Duration gain{}; ///< by which the task is expected to end earlier after a wait; negative: later
        TimePoint until{}; ///< when the wait ends at the latest
    };

    /// \return the decision; it is made anew in each planning round, as the expected times change.
    [[nodiscard]] static Decision decide(const NearPlaceOffer &offer, TimePoint now);
};

} // namespace Pistachio::Jobs
