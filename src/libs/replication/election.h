#pragma once

#include "core/identifier.h"
#include "core/random.h"
#include "core/time.h"
#include "replication/timing.h"

#include <cstdint>
#include <set>
#include <span>

namespace Pistachio::Replication
{

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// The role of a replica, its election timers and the votes that it counts.
class Election
{
public:
    Election(TimePoint now, const RandomSource &random, const Timing &timing);

    [[nodiscard]] Role role() const { return role_; }

    /// \return the leader of the current term, or an empty id.
    [[nodiscard]] const InstanceId &leader() const { return leader_; }

    /// \return whether no leader may still rely on this voter's silence.
    [[nodiscard]] bool mayVote(TimePoint now) const { return role_ != Role::Leader && now >= voteRefusedUntil_; }

    /// \return whether it is time to campaign.
    [[nodiscard]] bool isCampaignDue(TimePoint now) const { return role_ != Role::Leader && now >= campaignAt_; }

    /// A message of the term's leader arrived.
    void recordLeaderContact(TimePoint now, const InstanceId &leader);

    /// The leader's process has ended, so nothing relies on this voter's silence.
    void recordLeaderStopped(TimePoint now);

    /// Becomes a follower that knows no leader. A retry that is already due sooner stays.
    void stepDown(TimePoint now);

    /// Waits as a follower for a whole election timeout, since another candidate has this replica's vote.
    void restartElectionTimeout(TimePoint now);

    /// Ends a round as a follower that campaigns again after a retry time.
    void scheduleRetry(TimePoint now);

    /// \param role PreCandidate or Candidate
    void startRound(TimePoint now, Role role);

    void becomeLeader(const InstanceId &self);

    void countVote(const InstanceId &voter) { votes_.insert(voter); }

    /// \param voters the voters of the group
    /// \return whether a majority of them voted for this replica.
    [[nodiscard]] bool hasMajority(std::span<const InstanceId> voters) const;

private:
    Duration randomDuration(Duration shortest, Duration longest);

    RandomSource random_;
    const Timing timing_;
    Role role_ = Role::Follower;
    InstanceId leader_;
    TimePoint voteRefusedUntil_;
    TimePoint campaignAt_;
    std::set<InstanceId> votes_;
};

} // namespace Pistachio::Replication
