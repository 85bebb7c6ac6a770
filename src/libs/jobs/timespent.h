#pragma once

#include "core/time.h"

namespace Pistachio::Jobs
{

struct Run;

/// Where the time of a job goes: the parts of the runs that ended its steps.
struct TimeSpent {
    Duration advice{}; ///< ready, without any answer of the advice service
    Duration queue{}; ///< waiting for minions with room, or for more advice
    Duration assignment{}; ///< until the assignment was committed
    Duration start{}; ///< until the minion's confirmation was read
    Duration run{}; ///< until the end was read
    Duration expectedRun{}; ///< as it was expected when the runs were assigned
    Duration end{}; ///< until the end was committed

    TimeSpent &operator+=(const TimeSpent &other);
};

/// \param advisedAt when the step first got an answer of the advice service; zero if it needed none
/// \param now when the end of the run is committed
[[nodiscard]] TimeSpent timeSpent(const Run &run, TimePoint advisedAt, TimePoint now);

} // namespace Pistachio::Jobs
