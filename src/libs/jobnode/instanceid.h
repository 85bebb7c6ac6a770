#pragma once

#include "core/identifier.h"
#include "core/result.h"
#include "replication/types.h"

#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Storage
{
class FileSystem;
}

namespace Pistachio::Jobnode
{

/// Who an instance is to the others. The id is its address; an instance that lost its disk takes a new one, "<ip>~<n>",
/// since under the old one it could vote twice in a term or lack what it acknowledged.
struct InstanceIdentity {
    InstanceId id;
    Replication::Membership initialMembers; ///< empty: it joins an existing group
};

/// \return the address at which the instance is reached.
[[nodiscard]] std::string_view ipOf(const InstanceId &id);

/// Instances may leave out different seeds at the first start. Two sets of voters whose majorities don't overlap would
/// elect a leader each. \param usable number of seeds that become the first members here \param named number of seeds
/// in the settings \return whether a majority of the usable ones overlaps each majority of the named ones.
[[nodiscard]] bool canFoundGroup(std::size_t usable, std::size_t named);

/// \return whether others can reach the instance: its id begins with an IP address and isn't overly long.
[[nodiscard]] bool isReachable(const InstanceId &id);

/// Reads the identity from the data folder, or makes and stores one.
/// \param ip the address of this instance
/// \param seeds the addresses of the first members
/// \param bootstrap whether the whole cell starts for the first time
Result<InstanceIdentity> loadIdentity(Storage::FileSystem &files, const std::string &folder, const std::string &ip,
                                      std::vector<std::string> seeds, bool bootstrap);

} // namespace Pistachio::Jobnode
