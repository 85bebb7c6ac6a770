#pragma once

#include "cellstate/instancerecord.h"
#include "core/identifier.h"
#include "core/time.h"
#include "replication/types.h"

#include <map>
#include <memory>
#include <optional>

namespace Pistachio::Storage
{
class GroupHost;
}

namespace Pistachio::Controlnode
{

/// Brings the members of one group in line with the instances that operators added, one change at a time.
class MembershipDriver
{
public:
    using Instances = std::map<InstanceId, Cellstate::InstanceRecord>;

    /// \param zone the zone of a zone group, empty for the cell group
    explicit MembershipDriver(ZoneId zone);

    /// Proposes the next change when this instance leads the group and no change is open.
    void tick(TimePoint now, Storage::GroupHost &group, const Instances &instances);

    /// An instance becomes a learner first. It is promoted when it replaces a voter, or when a zone group has too few
    /// voters, and only then the replaced one is removed.
    /// \param zone the zone of a zone group, empty for the cell group
    /// \param members the members now
    /// \param instances the added instances
    /// \return the next change, if any.
    static std::optional<Replication::MembershipChange>
    nextChange(const ZoneId &zone, const Replication::Membership &members, const Instances &instances);

private:
    const ZoneId zone_;
    std::shared_ptr<bool> open_; ///< whether a change is proposed and has not ended
    TimePoint notBefore_;
};

} // namespace Pistachio::Controlnode
