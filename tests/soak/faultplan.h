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
/// \return faults in the order of their begin. They overlap, but a data folder is lost only when the instances that
/// lost theirs before count as whole, or on the same instance.
std::vector<Fault> planFaults(std::uint64_t seed, Duration span, const CellSize &size);

/// \return whether a fault of that kind takes the data folder of a control instance.
bool losesDisk(FaultKind kind);

} // namespace Pistachio::Soak
