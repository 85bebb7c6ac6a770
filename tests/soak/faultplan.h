#pragma once

#include "fault.h"

#include <cstdint>
#include <vector>

namespace Pistachio::Soak
{

struct CellSize {
    std::size_t controls = 3;
    std::size_t entries = 3;
    std::size_t minions = 8;
};

/// \param seed the same one gives the same plan
/// \param span in which faults begin
/// \return faults in the order of their begin; they overlap, but no two data folders are lost close to each other.
std::vector<Fault> planFaults(std::uint64_t seed, Duration span, const CellSize &size);

} // namespace Pistachio::Soak
