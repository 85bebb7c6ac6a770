#pragma once

#include "core/time.h"
#include "replication/types.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace Pistachio::Jobnode
{

/// Decides how the members of the job group change: instances that lost their disk come back under a new id, and
/// others join until there are enough voters.
class MemberChanges
{
public:
    /// \param wantedVoters so many that the tolerated losses leave a majority
    explicit MemberChanges(std::size_t wantedVoters);

    /// An instance looks for the group.
    void seen(TimePoint now, const InstanceId &instance);

    /// \param leader this instance
    /// \param ledSince when it became the leader; it knows nothing of members from before
    /// \param members the members now
    /// \param status what the leader knows of the other members
    /// \return the next change, or nothing.
    [[nodiscard]] std::optional<Replication::MembershipChange>
    next(TimePoint now, const InstanceId &leader, TimePoint ledSince, const Replication::Membership &members,
         std::span<const Replication::MemberStatus> status) const;

private:
    std::size_t wantedVoters_;
    std::map<InstanceId, TimePoint> seen_;
};

} // namespace Pistachio::Jobnode
