#include "placement/work.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{
// How much later work of each standing is treated as having arrived. Spare work passes promised work of the same age
// only after four hours, which is about half a night.
constexpr std::array<Duration, 4> standingOffset = {0s, 0s, 30min, 4h};
// Limits how far long work falls behind short work when waiting time has the greater weight.
constexpr Duration longestRunOffset = 30min;
// How much earlier work is tried for each of its accelerators: large tasks first, since small ones fit into what these
// leave over, and not the other way round.
constexpr Duration acceleratorAdvance = 10min;
} // namespace

Priority priorityOf(const Unit &unit, unsigned packingPercent, std::uint64_t sequence)
{
    const Work &work = *unit.work;
    const Duration run = std::min(work.estimatedRun, longestRunOffset) * (100 - std::min(packingPercent, 100U)) / 100;
    const Duration key = unit.readyAt.time_since_epoch() + standingOffset.at(static_cast<std::size_t>(work.standing))
        + run - acceleratorAdvance * work.resources.accelerators;
    return {static_cast<std::uint8_t>(work.standing == Standing::Urgent ? 0 : 1), key.count(), sequence};
}

std::int64_t countThatFits(const Resources &need, const Resources &room, std::int64_t most)
{
    std::int64_t count = most;
    if (need.milliCores > 0)
        count = std::min(count, room.milliCores / need.milliCores);
    if (need.memoryBytes > 0)
        count = std::min(count, room.memoryBytes / need.memoryBytes);
    if (need.accelerators > 0)
        count = std::min(count, room.accelerators / need.accelerators);
    return std::max<std::int64_t>(room.isNegative() ? 0 : count, 0);
}

AcceleratorClass acceleratorClassOf(const Resources &resources)
{
    return resources.accelerators > 0 ? AcceleratorClass::With : AcceleratorClass::Without;
}

} // namespace Pistachio::Placement
