#include "replication/election.h"

#include <algorithm>

namespace Pistachio::Replication
{

Election::Election(TimePoint now, const RandomSource &random, const Timing &timing)
    : random_(random)
    , timing_(timing)
    , voteRefusedUntil_(now + timing_.voteRefusal)
    , campaignAt_(now + randomDuration(timing_.minElectionTimeout, timing_.maxElectionTimeout))
{
}

void Election::recordLeaderContact(TimePoint now, const InstanceId &leader)
{
    role_ = Role::Follower;
    leader_ = leader;
    voteRefusedUntil_ = now + timing_.voteRefusal;
    campaignAt_ = now + randomDuration(timing_.minElectionTimeout, timing_.maxElectionTimeout);
}

void Election::recordLeaderStopped(TimePoint now)
{
    leader_ = {};
    voteRefusedUntil_ = now;
    campaignAt_ = now + randomDuration(Duration::zero(), timing_.maxStoppedLeaderDelay);
}

void Election::stepDown(TimePoint now)
{
    if (role_ == Role::Leader)
        campaignAt_ = now + randomDuration(timing_.minElectionTimeout, timing_.maxElectionTimeout);
    role_ = Role::Follower;
    leader_ = {};
}

void Election::restartElectionTimeout(TimePoint now)
{
    role_ = Role::Follower;
    campaignAt_ = now + randomDuration(timing_.minElectionTimeout, timing_.maxElectionTimeout);
}

void Election::loseLeader(TimePoint now)
{
    leader_ = {};
    restartElectionTimeout(now);
}

void Election::scheduleRetry(TimePoint now)
{
    startRound(now, Role::Follower);
}

void Election::startRound(TimePoint now, Role role)
{
    role_ = role;
    leader_ = {};
    votes_.clear();
    refusals_.clear();
    campaignAt_ = now + randomDuration(timing_.minElectionRetry, timing_.maxElectionRetry);
}

void Election::recordFailedCampaign()
{
    if (role_ == Role::PreCandidate || role_ == Role::Candidate)
        failedCampaign_ = {failedCampaign_.number + 1, votes_, refusals_};
}

void Election::becomeLeader(const InstanceId &self)
{
    role_ = Role::Leader;
    leader_ = self;
}

bool Election::hasMajority(std::span<const InstanceId> voters) const
{
    const auto votes = std::count_if(voters.begin(), voters.end(),
                                     [this](const InstanceId &voter) { return votes_.contains(voter); });
    return static_cast<std::size_t>(votes) > voters.size() / 2;
}

Duration Election::randomDuration(Duration shortest, Duration longest)
{
    const auto steps = static_cast<std::uint64_t>((longest - shortest).count()) + 1;
    return shortest + Duration(static_cast<Duration::rep>(random_.below(steps)));
}

} // namespace Pistachio::Replication
