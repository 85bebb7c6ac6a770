#include "jobnode/groupreport.h"

#include "logging/logger.h"
#include "metrics/registry.h"
#include "replication/election.h"
#include "storage/replicatedgroup.h"

#include <string>
#include <utility>
#include <vector>

namespace Pistachio::Jobnode
{

using Logging::LogLevel;

namespace
{

constexpr Duration campaignLineInterval = 1s; ///< campaigns without a majority follow each other in tens of ms
constexpr Duration silenceCheckInterval = 200ms;
constexpr Duration silenceLimit = 1s;

/// \return the ids, separated by spaces.
template<class Instances> std::string joined(const Instances &instances)
{
    std::string text;
    for (const InstanceId &instance : instances)
        text += (text.empty() ? "" : " ") + instance.value();
    return text;
}

} // namespace

GroupReport::GroupReport(Logging::Logger &logger, Metrics::Registry &metrics)
    : logger_(logger)
    , metrics_(metrics)
{
}

void GroupReport::update(TimePoint now, TimePoint ledSince, const Storage::ReplicatedGroup &group)
{
    reportMembers(group);
    reportCampaigns(now, group);
    reportSilentVoters(now, ledSince, group);
}

void GroupReport::reportMembers(const Storage::ReplicatedGroup &group)
{
    if (group.membership() == members_)
        return;
    members_ = group.membership();
    logger_.write(LogLevel::Info, "members",
                  {{"voters", joined(members_.voters)},
                   {"learners", joined(members_.learners)},
                   {"term", group.term()},
                   {"commit", group.commitIndex()}});
    metrics_.set("group_voters", static_cast<double>(members_.voters.size()));
    metrics_.set("group_learners", static_cast<double>(members_.learners.size()));
}

void GroupReport::reportCampaigns(TimePoint now, const Storage::ReplicatedGroup &group)
{
    const auto &campaign = group.failedCampaign();
    if (campaign.number == failedCampaigns_ || now < nextCampaignLine_)
        return;
    nextCampaignLine_ = now + campaignLineInterval;
    metrics_.add("group_failed_campaigns_total", campaign.number - failedCampaigns_);
    logger_.write(LogLevel::Warning, "campaign-failed",
                  {{"campaigns", campaign.number - failedCampaigns_},
                   {"voters", joined(group.membership().voters)},
                   {"granted", joined(campaign.granted)},
                   {"refused", joined(campaign.refused)},
                   {"term", group.term()}});
    failedCampaigns_ = campaign.number;
}

void GroupReport::reportSilentVoters(TimePoint now, TimePoint ledSince, const Storage::ReplicatedGroup &group)
{
    if (now < nextSilenceCheck_)
        return;
    nextSilenceCheck_ = now + silenceCheckInterval;
    std::set<InstanceId> silent;
    const auto members = group.isLeaderWithState() ? group.memberStatus(now) : std::vector<Replication::MemberStatus>();
    for (const auto &member : members) {
        if (member.isVoter && member.timeSinceAnswer.value_or(now - ledSince) > silenceLimit)
            silent.insert(member.instance);
    }
    for (const auto &voter : silent) {
        if (!silentVoters_.contains(voter))
            logger_.write(LogLevel::Warning, "voter-silent", {{"voter", voter.value()}, {"term", group.term()}});
    }
    for (const auto &voter : silentVoters_) {
        if (group.isLeader() && !silent.contains(voter))
            logger_.write(LogLevel::Info, "voter-answers", {{"voter", voter.value()}, {"term", group.term()}});
    }
    silentVoters_ = std::move(silent);
    metrics_.set("group_silent_voters", static_cast<double>(silentVoters_.size()));
}

} // namespace Pistachio::Jobnode
