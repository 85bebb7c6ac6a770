#include "jobnode/groupmembership.h"

#include "jobnode/instanceid.h"
#include "storage/replicatedgroup.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{
constexpr Duration announceInterval = 1s;
constexpr Duration searchInterval = 250ms; ///< between announcements while no leader is known
constexpr Duration changeInterval = 100ms;
constexpr int silenceShare
    = 4; ///< a quarter of the catch-up time; the rest covers an election, joining and two changes
constexpr Duration shortestSilence = 500ms; ///< a restart of a process takes less
} // namespace

GroupMembership::GroupMembership(InstanceId self, std::vector<std::string> seeds, std::size_t wantedVoters,
                                 Duration catchUpTime)
    : self_(std::move(self))
    , seeds_(std::move(seeds))
    , changes_(wantedVoters, std::max(catchUpTime / silenceShare, shortestSilence))
{
}

std::vector<std::string> GroupMembership::announcements(TimePoint now, const Storage::ReplicatedGroup &group)
{
    if (isLeaving_)
        return {};
    const auto leader = leaderIp(group);
    const bool isNewLeader = !leader.empty() && leader != lastLeader_;
    if (now < nextAnnouncement_ && !isNewLeader)
        return {};
    nextAnnouncement_ = now + announceInterval;
    if (isNewLeader)
        silentLeader_.clear();
    lastLeader_ = leader;
    if (group.isLeaderWithState())
        return {};
    if (!leader.empty() && leader != silentLeader_)
        return {leader};
    nextAnnouncement_ = now + searchInterval;
    return addressesToAsk(group);
}

std::vector<std::string> GroupMembership::addressesToAsk(const Storage::ReplicatedGroup &group) const
{
    std::set<std::string> addresses(seeds_.begin(), seeds_.end());
    for (const auto &voter : group.membership().voters)
        addresses.emplace(ipOf(voter));
    if (!namedLeader_.empty())
        addresses.insert(namedLeader_);
    addresses.erase(std::string(ipOf(self_)));
    return {addresses.begin(), addresses.end()};
}

void GroupMembership::leaderNamed(const InstanceId &leader)
{
    if (!isReachable(leader) || ipOf(leader) == namedLeader_)
        return;
    namedLeader_ = ipOf(leader);
    nextAnnouncement_ = {};
}

void GroupMembership::leaderAnswered(const std::string &ip)
{
    if (ip == silentLeader_)
        silentLeader_.clear();
}

void GroupMembership::announcementFailed(const std::string &ip)
{
    if (ip == lastLeader_)
        silentLeader_ = ip;
    if (ip == namedLeader_)
        namedLeader_.clear();
}

void GroupMembership::changeEnded(bool isDone)
{
    isChangeOpen_ = false;
    if (isDone)
        nextChange_ = {};
}

void GroupMembership::seen(TimePoint now, const InstanceId &instance)
{
    changes_.seen(now, instance);
}

void GroupMembership::leave()
{
    isLeaving_ = true;
}

bool GroupMembership::hasVote(const Storage::ReplicatedGroup &group) const
{
    const auto &voters = group.membership().voters;
    return std::find(voters.begin(), voters.end(), self_) != voters.end();
}

bool GroupMembership::mayLeave(TimePoint now, TimePoint ledSince, const Storage::ReplicatedGroup &group,
                               const InstanceId &instance)
{
    changes_.leaves(instance);
    const auto status = group.memberStatus(now);
    const MemberChanges::View view{self_, ledSince, group.commitIndex(), group.membership(), status};
    return !isChangeOpen_ && !changes_.canHandOver(now, instance, view);
}

std::optional<Replication::MembershipChange> GroupMembership::nextChange(TimePoint now, TimePoint ledSince,
                                                                         const Storage::ReplicatedGroup &group)
{
    if (isChangeOpen_ || now < nextChange_)
        return std::nullopt;
    nextChange_ = now + changeInterval;
    const auto status = group.memberStatus(now);
    auto change = changes_.next(now, {self_, ledSince, group.commitIndex(), group.membership(), status});
    isChangeOpen_ = change.has_value();
    return change;
}

std::string GroupMembership::leaderIp(const Storage::ReplicatedGroup &group) const
{
    const auto leader = group.leaderHint();
    return leader == self_ ? std::string() : std::string(ipOf(leader));
}

} // namespace Pistachio::Jobnode
