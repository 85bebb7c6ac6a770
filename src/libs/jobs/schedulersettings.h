#pragma once

#include "core/time.h"

#include <cstddef>

namespace Pistachio::Jobs
{

/// What a cell's surroundings ask of its scheduler.
struct SchedulerSettings {
    static constexpr Duration usualLease = 4000ms; ///< outlasts a restart of all control instances and the election
    Duration lease = usualLease; ///< a shorter one is renewed more often in proportion
    Duration longestLease = 6000ms; ///< minions cut longer ones down to this
    Duration finishedRetention = 150s; ///< how long a finished job stays readable
    Duration reportInterval = 1500ms; ///< between two reports of a minion about itself
    Duration stopTimeout = 400ms; ///< upper bound on the time a stop takes; what is being stopped uses capacity
    Duration startLimit = 2500ms; ///< a start order is not repeated later than this after the assignment
    double remotePenalty
        = 1; ///< factor on the run time of a task away from its data; 1: no step waits for a near place
    bool makesCopies = true; ///< of late tasks of steps that allow them
    std::size_t advisedMinions = 32; ///< maximum number of minions in one advice request
};

} // namespace Pistachio::Jobs
