#include "jobnode/groupmembership.h"

#include "jobnode/instanceid.h"
#include "storage/replicatedgroup.h"

#include <utility>

namespace Pistachio::Jobnode
{

namespace
{
constexpr Duration announceInterval = 1s;
constexpr Duration changeInterval = 500ms;
} // namespace

GroupMembership::GroupMembership(InstanceId self, std::vector<std::string> seeds, std::size_t wantedVoters)
    : self_(std::move(self))
    , seeds_(std::move(seeds))
    , changes_(wantedVoters)
{
}

std::vector<std::string> GroupMembership::announcements(TimePoint now, const Storage::ReplicatedGroup &group)
{
    if (now < nextAnnouncement_)
        return {};
    nextAnnouncement_ = now + announceInterval;
    if (group.isLeaderWithState())
        return {};
    if (auto leader = leaderIp(group); !leader.empty())
        return {std::move(leader)};
    std::vector<std::string> receivers;
    if (!namedLeader_.empty())
        receivers.push_back(namedLeader_);
    for (const auto &seed : seeds_) {
        if (seed != ipOf(self_) && seed != namedLeader_)
            receivers.push_back(seed);
    }
    return receivers;
}

void GroupMembership::leaderNamed(const InstanceId &leader)
{
    if (!leader.isEmpty())
        namedLeader_ = ipOf(leader);
}

void GroupMembership::announcementFailed(const std::string &ip)
{
    if (ip == namedLeader_)
        namedLeader_.clear();
}

void GroupMembership::seen(TimePoint now, const InstanceId &instance)
{
    changes_.seen(now, instance);
}

std::optional<Replication::MembershipChange> GroupMembership::nextChange(TimePoint now, TimePoint ledSince,
                                                                         const Storage::ReplicatedGroup &group)
{
    if (isChangeOpen_ || now < nextChange_)
        return std::nullopt;
    nextChange_ = now + changeInterval;
    auto change = changes_.next(now, self_, ledSince, group.membership(), group.memberStatus(now));
    isChangeOpen_ = change.has_value();
    return change;
}

std::string GroupMembership::leaderIp(const Storage::ReplicatedGroup &group) const
{
    const auto leader = group.leaderHint();
    return leader == self_ ? std::string() : std::string(ipOf(leader));
}

} // namespace Pistachio::Jobnode
