#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace Pistachio::Replication
{
struct MemberStatus;
}

namespace Pistachio::Jobnode
{

/// Reports of a small fleet go to the leader, without a detour. Those of a large one are spread over the other control
/// instances, which hand them on in batches. Chooses by rendezvous hashing, so that only the minions of an instance
/// that comes or goes move. \param minion the minion that reports \param minions the size of the fleet \param members
/// the other members of the group, as the leader knows them \return the address of the instance that the minion should
/// report to; nothing: the leader.
[[nodiscard]] std::optional<std::string> placeReports(const std::string &minion, std::size_t minions,
                                                      std::span<const Replication::MemberStatus> members);

} // namespace Pistachio::Jobnode
