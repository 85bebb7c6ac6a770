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

/// The last campaign of a replica that found no majority. A voter in neither set did not answer.
struct FailedCampaign {
    std::uint64_t number = 0; ///< of the failed campaigns since the start; 0: none
    std::set<InstanceId> granted;
    std::set<InstanceId> refused;
};

/// The role of a replica, its election timers and the votes that it counts.
class Election
{
public:
    Election(TimePoint now, const RandomSource &random, const Timing &timing);

    [[nodiscard]] Role role() const { return role_; }

    /// \return the leader of the current term, or an empty id.
    [[nodiscard]] const InstanceId &leader() const { return leader_; }

    /// \return whether this replica may grant votes: no other leader can still hold a lease that it has confirmed.
    [[nodiscard]] bool mayVote(TimePoint now) const { return role_ != Role::Leader && now >= voteRefusedUntil_; }

    /// \return whether the election timeout or the retry delay has passed.
    [[nodiscard]] bool isCampaignDue(TimePoint now) const { return role_ != Role::Leader && now >= campaignAt_; }

    /// Becomes a follower of \p leader, which sent a message, and restarts the election timeout.
    void recordLeaderContact(TimePoint now, const InstanceId &leader);

    /// Allows votes at once and a campaign soon, since the leader's process has ended and no longer relies on its
    /// lease.
    void recordLeaderStopped(TimePoint now);

    /// Becomes a follower that knows no leader. Only a leader starts a new election timeout; otherwise the timer runs
    /// on.
    void stepDown(TimePoint now);

    /// Forgets the leader, which has sent nothing for a whole election timeout, without a campaign.
    void loseLeader(TimePoint now);

    /// Becomes a follower that waits for a whole election timeout, after a vote for another candidate for example.
    void restartElectionTimeout(TimePoint now);

    /// Ends the round as a follower that campaigns again after a random retry delay.
    void scheduleRetry(TimePoint now);

    /// Clears the votes and starts the retry timer.
    /// \param role the role for this round
    void startRound(TimePoint now, Role role);

    void becomeLeader(const InstanceId &self);

    void countVote(const InstanceId &voter) { votes_.insert(voter); }
    void countRefusal(const InstanceId &voter) { refusals_.insert(voter); }

    /// Keeps the answers of a campaign that is about to be repeated.
    void recordFailedCampaign();
    [[nodiscard]] const FailedCampaign &failedCampaign() const { return failedCampaign_; }

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
    std::set<InstanceId> refusals_;
    FailedCampaign failedCampaign_;
};

} // namespace Pistachio::Replication
