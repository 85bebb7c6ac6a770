#include "jobnode/memberchanges.h"

#include "jobnode/instanceid.h"

#include <algorithm>
#include <vector>

namespace Pistachio::Jobnode
{

using Replication::MembershipChange;

namespace
{

constexpr Duration seenLimit = 3s;
constexpr Duration silentVoterLimit = 20s; ///< then a spare instance takes its vote

bool contains(const std::vector<InstanceId> &list, const InstanceId &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// \return another voter at the same address, which lost its disk, or null.
const InstanceId *predecessor(const Replication::Membership &members, const InstanceId &id)
{
    const auto found = std::find_if(members.voters.begin(), members.voters.end(),
                                    [&id](const InstanceId &voter) { return voter != id && ipOf(voter) == ipOf(id); });
    return found == members.voters.end() ? nullptr : &*found;
}

} // namespace

MemberChanges::MemberChanges(std::size_t wantedVoters)
    : wantedVoters_(wantedVoters)
{
}

void MemberChanges::seen(TimePoint now, const InstanceId &instance)
{
    seen_[instance] = now;
}

std::optional<MembershipChange> MemberChanges::next(TimePoint now, const InstanceId &leader, TimePoint ledSince,
                                                    const Replication::Membership &members,
                                                    std::span<const Replication::MemberStatus> status) const
{
    const auto isPresent = [&](const InstanceId &id) {
        const auto found = seen_.find(id);
        return id == leader || (found != seen_.end() && now < found->second + seenLimit);
    };
    // What an instance was before it lost its disk is removed as soon as its successor votes.
    for (const auto &voter : members.voters) {
        const auto *old = predecessor(members, voter);
        if (old && isPresent(voter) && !isPresent(*old))
            return MembershipChange{MembershipChange::Kind::Remove, *old};
    }
    for (const auto &learner : members.learners) {
        const bool isReplaced = std::any_of(seen_.begin(), seen_.end(), [&](const auto &entry) {
            return entry.first != learner && ipOf(entry.first) == ipOf(learner) && isPresent(entry.first);
        });
        if (isReplaced && !isPresent(learner))
            return MembershipChange{MembershipChange::Kind::Remove, learner};
        const auto known
            = std::find_if(status.begin(), status.end(), [&](const auto &item) { return item.instance == learner; });
        const bool answers = known != status.end() && known->timeSinceAnswer && *known->timeSinceAnswer < seenLimit;
        const bool isWanted = predecessor(members, learner) || members.voters.size() < wantedVoters_;
        if (answers && isPresent(learner) && isWanted)
            return MembershipChange{MembershipChange::Kind::Promote, learner};
    }
    for (const auto &[id, when] : seen_) {
        if (!isPresent(id) || contains(members.voters, id) || contains(members.learners, id))
            continue;
        return MembershipChange{MembershipChange::Kind::AddLearner, id};
    }
    if (members.voters.size() <= wantedVoters_ && members.learners.empty())
        return std::nullopt;
    // A voter that is gone for good gives way to a spare instance.
    for (const auto &item : status) {
        const auto silence = item.timeSinceAnswer.value_or(now - ledSince);
        const bool isSilent = item.isVoter && silence > silentVoterLimit;
        if (isSilent && !isPresent(item.instance) && members.voters.size() > 1)
            return MembershipChange{MembershipChange::Kind::Remove, item.instance};
    }
    return std::nullopt;
}

} // namespace Pistachio::Jobnode
