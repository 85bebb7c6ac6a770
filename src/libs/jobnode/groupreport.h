#pragma once

#include "core/time.h"
#include "replication/types.h"

#include <cstdint>
#include <set>

namespace Pistachio::Logging
{
class Logger;
}

namespace Pistachio::Metrics
{
class Registry;
}

namespace Pistachio::Storage
{
class ReplicatedGroup;
}

namespace Pistachio::Jobnode
{

/// Logs and counts what explains a group without a leader: the members as this replica knows them, campaigns without a
/// majority, and voters that don't answer the leader.
class GroupReport
{
public:
    /// \param logger gets a line for each change; outlives this
    /// \param metrics gets the gauges and the counter of failed campaigns; outlives this
    GroupReport(Logging::Logger &logger, Metrics::Registry &metrics);

    /// \param now the time
    /// \param ledSince when this instance became the leader, if it leads
    /// \param group the group after the events up to \p now
    void update(TimePoint now, TimePoint ledSince, const Storage::ReplicatedGroup &group);

private:
    void reportMembers(const Storage::ReplicatedGroup &group);
    void reportCampaigns(TimePoint now, const Storage::ReplicatedGroup &group);
    void reportSilentVoters(TimePoint now, TimePoint ledSince, const Storage::ReplicatedGroup &group);

    Logging::Logger &logger_;
    Metrics::Registry &metrics_;
    Replication::Membership members_;
    std::uint64_t failedCampaigns_ = 0;
    TimePoint nextCampaignLine_{};
    TimePoint nextSilenceCheck_{};
    std::set<InstanceId> silentVoters_;
};

} // namespace Pistachio::Jobnode
