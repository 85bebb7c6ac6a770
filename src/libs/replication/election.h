#pragma once

#include "core/identifier.h"
#include "core/random.h"
#include "core/time.h"

#include <cstdint>
#include <set>
#include <span>

namespace Pistachio::Replication
{

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

constexpr Duration heartbeatInterval = 300ms;

/// Learners never campaign, so they need a leader's sign of life less often.
constexpr Duration learnerHeartbeatInterval = 900ms;

/// A leader has authority while a majority answered what it sent within this time. It is below the shortest election
/// timeout by 300 ms, which covers clocks whose rates differ by 2% and the steps of the timers.
constexpr Duration authorityDuration = 900ms;

/// No vote is given for this long after a leader was heard or the process started.
constexpr Duration voteRefusal = 1200ms;

constexpr Duration minElectionTimeout = 1200ms;
constexpr Duration maxElectionTimeout = 2000ms;
constexpr Duration minElectionRetry = 150ms;
constexpr Duration maxElectionRetry = 450ms;

/// A leader without answers from a majority gives up its office after this time.
constexpr Duration leaderStepDown = 1200ms;

/// The role of a replica, its election timers and the votes that it counts.
class Election
{
public:
    Election(TimePoint now, const RandomSource &random);

    [[nodiscard]] Role role() const { return role_; }

    /// \return the leader of the current term, or an empty id.
    [[nodiscard]] const InstanceId &leader() const { return leader_; }

    /// \return whether no leader may still rely on this voter's silence.
    [[nodiscard]] bool mayVote(TimePoint now) const { return role_ != Role::Leader && now >= refuseUntil_; }

    /// \return whether it is time to campaign.
    [[nodiscard]] bool isDue(TimePoint now) const { return role_ != Role::Leader && now >= deadline_; }

    /// A message of the term's leader arrived.
    void heardLeader(TimePoint now, const InstanceId &leader);

    /// Becomes a follower that knows no leader. A retry that is already due sooner stays.
    void follow(TimePoint now);

    /// Waits as a follower for a whole election timeout, since another candidate has this replica's vote.
    void yield(TimePoint now);

    /// Ends a round as a follower that campaigns again after a retry time.
    void retryLater(TimePoint now);

    /// \param role PreCandidate or Candidate
    void startRound(TimePoint now, Role role);

    void lead(const InstanceId &self);

    void countVote(const InstanceId &voter) { votes_.insert(voter); }

    /// \param voters the voters of the group
    /// \return whether a majority of them voted for this replica.
    [[nodiscard]] bool isWon(std::span<const InstanceId> voters) const;

private:
    Duration between(Duration shortest, Duration longest);

    RandomSource random_;
    Role role_ = Role::Follower;
    InstanceId leader_;
    TimePoint refuseUntil_;
    TimePoint deadline_;
    std::set<InstanceId> votes_;
};

} // namespace Pistachio::Replication
