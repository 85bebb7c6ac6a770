#pragma once

#include "core/time.h"

namespace Pistachio::Replication
{

/// The timeouts of a group, which must be the same for all its members.
struct Timing {
    Duration heartbeat = 300ms;

    /// Learners never campaign, so they need fewer heartbeats.
    Duration learnerHeartbeat = 900ms;

    /// A leader holds its lease while a majority has answered a message that it sent within this time. It is below the
    /// shortest election timeout by a quarter, which covers clocks whose rates differ by 2% and the granularity of the
    /// timers.
    Duration leaderLease = 900ms;

    /// A voter grants no vote for this long after a message of the leader or the start of its process.
    Duration voteRefusal = 1200ms;

    Duration minElectionTimeout = 1200ms;
    Duration maxElectionTimeout = 2000ms;
    Duration minElectionRetry = 150ms;
    Duration maxElectionRetry = 450ms;

    /// A voter campaigns within this time after the leader's process has ended. The spread avoids split votes.
    Duration maxStoppedLeaderDelay = 40ms;

    /// A leader steps down when no majority has answered for this long.
    Duration leaderStepDown = 1200ms;

    /// For a group that shares its disk with no other and whose users wait for each election.
    static Timing shortTimeouts()
    {
        return {
            60ms, // heartbeat
            300ms, // learnerHeartbeat
            270ms, // leaderLease
            360ms, // voteRefusal
            360ms, // minElectionTimeout
            560ms, // maxElectionTimeout
            60ms, // minElectionRetry
            180ms, // maxElectionRetry
            40ms, // maxStoppedLeaderDelay
            360ms // leaderStepDown
        };
    }
};

} // namespace Pistachio::Replication
