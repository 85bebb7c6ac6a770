#pragma once

#include "core/time.h"

namespace Pistachio::Replication
{

/// The timers of a group. All members of a group use the same ones.
struct Timing {
    Duration heartbeat = 300ms;

    /// Learners never campaign, so they need a leader's sign of life less often.
    Duration learnerHeartbeat = 900ms;

    /// A leader holds its lease while a majority answered what it sent within this time. It is below the shortest
    /// election timeout by a quarter, which covers clocks whose rates differ by 2% and the steps of the timers.
    Duration leaderLease = 900ms;

    /// No vote is given for this long after a leader was heard or the process started.
    Duration voteRefusal = 1200ms;

    Duration minElectionTimeout = 1200ms;
    Duration maxElectionTimeout = 2000ms;
    Duration minElectionRetry = 150ms;
    Duration maxElectionRetry = 450ms;

    /// After the leader's process has ended, a voter campaigns within this time. The spread avoids split votes.
    Duration maxStoppedLeaderDelay = 40ms;

    /// A leader without answers from a majority gives up its office after this time.
    Duration leaderStepDown = 1200ms;

    /// For a group that is alone on its disk and whose users wait for each election.
    static Timing shortTimeouts() { return {60ms, 300ms, 270ms, 360ms, 360ms, 560ms, 60ms, 180ms, 40ms, 360ms}; }
};

} // namespace Pistachio::Replication
