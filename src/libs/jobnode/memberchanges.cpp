#include "jobnode/memberchanges.h"

#include "jobnode/instanceid.h"

#include <algorithm>
#include <vector>

namespace Pistachio::Jobnode
{

using Replication::MembershipChange;
using Replication::MemberStatus;

namespace
{

constexpr Duration presenceLimit = 3s; ///< three announcements
constexpr Duration answerLimit = 600ms; ///< ten heartbeats to a voter, two to a learner
constexpr Duration promotionLimit = 350ms; ///< a promotion is refused if the learner's last answer is older
constexpr Replication::LogIndex caughtUpLag = 100; ///< entries; they follow in a few round trips

bool contains(const std::vector<InstanceId> &list, const InstanceId &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// \return the time since the member's last answer, or since the election if it has not answered in this term.
Duration silenceOf(TimePoint now, const MemberChanges::View &view, const MemberStatus &member)
{
    return member.timeSinceAnswer.value_or(now - view.ledSince);
}

} // namespace

MemberChanges::MemberChanges(std::size_t wantedVoters, Duration silenceLimit)
    : wantedVoters_(wantedVoters)
    , silenceLimit_(silenceLimit)
{
}

void MemberChanges::seen(TimePoint now, const InstanceId &instance)
{
    seen_[instance] = now;
    leaving_.erase(instance);
}

void MemberChanges::leaves(const InstanceId &instance)
{
    leaving_.insert(instance);
    seen_.erase(instance);
}

bool MemberChanges::canHandOver(TimePoint now, const InstanceId &instance, const View &view) const
{
    // A new leader has not heard of a learner yet, and a new learner not of its leader.
    const bool hasLearner = std::any_of(view.status.begin(), view.status.end(), [&](const MemberStatus &member) {
        const bool isThere = silenceOf(now, view, member) <= answerLimit || isPresent(now, member.instance);
        return !member.isVoter && isThere && !member.hasLostData;
    });
    return contains(view.members.voters, instance) && (hasLearner || newInstance(now, view));
}

std::optional<MembershipChange> MemberChanges::next(TimePoint now, const View &view)
{
    auto change = choose(now, view);
    // What announced itself before its removal must do so again to come back.
    if (change && change->kind == MembershipChange::Kind::Remove)
        seen_.erase(change->instance);
    if (change && change->kind == MembershipChange::Kind::AddLearner)
        joined_[change->instance] = now;
    return change;
}

std::optional<MembershipChange> MemberChanges::choose(TimePoint now, const View &view) const
{
    using Kind = MembershipChange::Kind;
    if (const auto *superseded = supersededMember(now, view))
        return MembershipChange{Kind::Remove, *superseded};
    const auto *learner = caughtUpLearner(view);
    const auto *leaving = leavingVoter(view);
    const auto *silent = silentVoter(now, view);
    const auto voters = view.members.voters.size();
    const bool isOdd = voters % 2 == 1;
    // The old voter is gone for good, and its successor may still be lost again: four votes must not depend on both.
    if (learner && silent && voters == wantedVoters_ && isSuccessor(now, view, *learner, *silent))
        return MembershipChange{Kind::Remove, silent->instance};
    // One that leaves still answers and one that is silent may come back with its disk, so another one votes first.
    if (learner && (voters < wantedVoters_ || (leaving && voters == wantedVoters_) || (silent && isOdd)))
        return MembershipChange{Kind::Promote, *learner};
    if (leaving && voters > wantedVoters_)
        return MembershipChange{Kind::Remove, *leaving};
    // An even number of voters bears no more losses than one voter less.
    if (silent && !isOdd)
        return MembershipChange{Kind::Remove, silent->instance};
    if (const auto *instance = newInstance(now, view))
        return MembershipChange{Kind::AddLearner, *instance};
    return std::nullopt;
}

bool MemberChanges::isPresent(TimePoint now, const InstanceId &instance) const
{
    const auto found = seen_.find(instance);
    return found != seen_.end() && now < found->second + presenceLimit;
}

/// An address belongs to one instance at a time, so a later one there means that the disk of the earlier one is lost.
bool MemberChanges::isSuperseded(TimePoint now, const InstanceId &instance) const
{
    const auto lastSeen = seen_.find(instance);
    return std::any_of(seen_.begin(), seen_.end(), [&](const auto &entry) {
        const bool isLater = lastSeen == seen_.end() || entry.second > lastSeen->second;
        return entry.first != instance && ipOf(entry.first) == ipOf(instance) && isLater && isPresent(now, entry.first);
    });
}

const InstanceId *MemberChanges::supersededMember(TimePoint now, const View &view) const
{
    const auto found = std::find_if(view.status.begin(), view.status.end(), [&](const MemberStatus &member) {
        return silenceOf(now, view, member) > answerLimit && isSuperseded(now, member.instance);
    });
    return found == view.status.end() ? nullptr : &found->instance;
}

const InstanceId *MemberChanges::newInstance(TimePoint now, const View &view) const
{
    const auto found = std::find_if(seen_.begin(), seen_.end(), [&](const auto &entry) {
        const auto &id = entry.first;
        return isPresent(now, id) && !isSuperseded(now, id) && !contains(view.members.voters, id)
            && !contains(view.members.learners, id);
    });
    return found == seen_.end() ? nullptr : &found->first;
}

const MemberStatus *MemberChanges::silentVoter(TimePoint now, const View &view) const
{
    const auto found = std::find_if(view.status.begin(), view.status.end(), [&](const MemberStatus &member) {
        return member.isVoter && silenceOf(now, view, member) > silenceLimit_;
    });
    return found == view.status.end() ? nullptr : &*found;
}

/// An empty instance that joins after a voter fell silent stands in for it; one that was there before does not.
bool MemberChanges::isSuccessor(TimePoint now, const View &view, const InstanceId &learner,
                                const MemberStatus &voter) const
{
    const auto joined = joined_.find(learner);
    return joined != joined_.end() && joined->second >= now - silenceOf(now, view, voter);
}

const InstanceId *MemberChanges::leavingVoter(const View &view) const
{
    const auto &voters = view.members.voters;
    const auto found
        = std::find_if(voters.begin(), voters.end(), [this](const auto &voter) { return leaving_.contains(voter); });
    return found == voters.end() ? nullptr : &*found;
}

/// \return a learner that holds the log, answers and stays, or null.
const InstanceId *MemberChanges::caughtUpLearner(const View &view) const
{
    const auto found = std::find_if(view.status.begin(), view.status.end(), [&](const MemberStatus &member) {
        const bool answers = member.timeSinceAnswer && *member.timeSinceAnswer <= promotionLimit;
        const bool stays = !member.hasLostData && !leaving_.contains(member.instance);
        return !member.isVoter && answers && stays && member.match + caughtUpLag >= view.commitIndex;
    });
    return found == view.status.end() ? nullptr : &found->instance;
}

} // namespace Pistachio::Jobnode
