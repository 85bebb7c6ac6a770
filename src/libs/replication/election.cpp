#include "replication/election.h"

#include <algorithm>

namespace Pistachio::Replication
{

Election::Election(TimePoint now, const RandomSource &random, const Timing &timing)
    : random_(random)
    , timing_(timing)
    , refuseUntil_(now + timing_.voteRefusal)
    , deadline_(now + between(timing_.minElectionTimeout, timing_.maxElectionTimeout))
{
}

void Election::heardLeader(TimePoint now, const InstanceId &leader)
{
    role_ = Role::Follower;
    leader_ = leader;
    refuseUntil_ = now + timing_.voteRefusal;
    deadline_ = now + between(timing_.minElectionTimeout, timing_.maxElectionTimeout);
}

void Election::leaderStopped(TimePoint now)
{
    leader_ = {};
    refuseUntil_ = now;
    deadline_ = now + between(Duration::zero(), timing_.maxStoppedLeaderDelay);
}

void Election::follow(TimePoint now)
{
    if (role_ == Role::Leader)
        deadline_ = now + between(timing_.minElectionTimeout, timing_.maxElectionTimeout);
    role_ = Role::Follower;
    leader_ = {};
}

void Election::yield(TimePoint now)
{
    role_ = Role::Follower;
    deadline_ = now + between(timing_.minElectionTimeout, timing_.maxElectionTimeout);
}

void Election::retryLater(TimePoint now)
{
    startRound(now, Role::Follower);
}

void Election::startRound(TimePoint now, Role role)
{
    role_ = role;
    leader_ = {};
    votes_.clear();
    deadline_ = now + between(timing_.minElectionRetry, timing_.maxElectionRetry);
}

void Election::lead(const InstanceId &self)
{
    role_ = Role::Leader;
    leader_ = self;
}

bool Election::isWon(std::span<const InstanceId> voters) const
{
    const auto votes = std::count_if(voters.begin(), voters.end(),
                                     [this](const InstanceId &voter) { return votes_.contains(voter); });
    return static_cast<std::size_t>(votes) > voters.size() / 2;
}

Duration Election::between(Duration shortest, Duration longest)
{
    const auto steps = static_cast<std::uint64_t>((longest - shortest).count()) + 1;
    return shortest + Duration(static_cast<Duration::rep>(random_.below(steps)));
}

} // namespace Pistachio::Replication
