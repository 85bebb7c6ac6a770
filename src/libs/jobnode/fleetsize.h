#pragma once

#include <cstddef>

namespace Pistachio::Jobnode
{

/// \return whether a fleet is so large that the leader shares its connections to minions with the other control
/// instances.
[[nodiscard]] constexpr bool isLargeFleet(std::size_t minions)
{
    constexpr std::size_t fewestMinions = 200;
    return minions >= fewestMinions;
}

} // namespace Pistachio::Jobnode
