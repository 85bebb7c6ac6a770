#include "controlnode/membershipdriver.h"

#include "storage/grouphost.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Pistachio::Controlnode
{

using Replication::MembershipChange;

namespace
{

constexpr Duration interval = 500ms;
constexpr std::size_t zoneVoters = 3;

bool contains(const std::vector<InstanceId> &list, const InstanceId &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// \return the instances that \p record replaces, directly or through others that were replaced before they joined.
std::vector<InstanceId> replacedBy(const Cellstate::InstanceRecord &record,
                                   const MembershipDriver::Instances &instances)
{
    std::vector<InstanceId> result;
    auto id = record.replaces;
    while (!id.isEmpty() && !contains(result, id)) {
        result.push_back(id);
        const auto found = instances.find(id);
        id = found == instances.end() ? InstanceId() : found->second.replaces;
    }
    return result;
}

} // namespace

MembershipDriver::MembershipDriver(ZoneId zone)
    : zone_(std::move(zone))
    , open_(std::make_shared<bool>(false))
{
}

std::optional<MembershipChange> MembershipDriver::nextChange(const ZoneId &zone, const Replication::Membership &members,
                                                             const Instances &instances)
{
    const auto isVoter = [&members](const InstanceId &id) { return contains(members.voters, id); };
    const auto isMember = [&](const InstanceId &id) { return isVoter(id) || contains(members.learners, id); };
    for (const auto &[id, record] : instances) {
        if (record.retired)
            continue;
        const auto replaced = replacedBy(record, instances);
        const bool replacesMember = std::any_of(replaced.begin(), replaced.end(), isMember);
        // A zone group may borrow a voter of another zone, which only its replacement may replace there.
        if (!zone.isEmpty() && record.zone != zone && !replacesMember && !isMember(id))
            continue;
        if (!isMember(id))
            return MembershipChange{MembershipChange::Kind::AddLearner, id};
        const bool replacesVoter = std::any_of(replaced.begin(), replaced.end(), isVoter);
        const bool isWanted = replacesVoter || (!zone.isEmpty() && members.voters.size() < zoneVoters);
        if (isWanted && !isVoter(id))
            return MembershipChange{MembershipChange::Kind::Promote, id};
        const auto left = std::find_if(replaced.begin(), replaced.end(), isMember);
        if (left != replaced.end())
            return MembershipChange{MembershipChange::Kind::Remove, *left};
    }
    return std::nullopt;
}

void MembershipDriver::tick(TimePoint now, Storage::GroupHost &group, const Instances &instances)
{
    if (*open_ || now < notBefore_ || instances.empty() || !group.canAnswer(now))
        return;
    notBefore_ = now + interval;
    const auto change = nextChange(zone_, group.group().membership(), instances);
    if (!change)
        return;
    *open_ = true;
    // A refusal, such as for a learner that lags, is tried again later.
    group.proposeMembership(now, *change, [open = open_](const Result<std::string> &) { *open = false; });
}

} // namespace Pistachio::Controlnode
