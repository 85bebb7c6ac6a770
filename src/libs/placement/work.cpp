#include "placement/work.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{
// Added to the time since when a unit is ready, by standing. Spare work gets ahead of promised work only when that
// became ready more than four hours later, which is about half a night.
constexpr std::array<Duration, 4> standingOffsets = {0s, 0s, 30min, 4h};
// Limits how far long work falls behind short work; scaled by (100 - packingPercent) / 100.
constexpr Duration maxRunTimeOffset = 30min;
// Advances work for each of its accelerators: large tasks are placed first, since small ones fit into what they leave
// free, but not the other way round.
constexpr Duration advancePerAccelerator = 10min;
} // namespace

Priority priorityOf(const Unit &unit, unsigned packingPercent, std::uint64_t sequence)
{
    const Work &work = *unit.work;
    const Duration run = std::min(work.estimatedRun, maxRunTimeOffset) * (100 - std::min(packingPercent, 100U)) / 100;
    const Duration sortTime = unit.readyAt.time_since_epoch()
        + standingOffsets.at(static_cast<std::size_t>(work.standing)) + run
        - advancePerAccelerator * work.resources.accelerators;
    return {static_cast<std::uint8_t>(work.standing == Standing::Urgent ? 0 : 1), sortTime.count(), sequence};
}

std::int64_t fittingTaskCount(const Resources &need, const Resources &available, std::int64_t limit)
{
    std::int64_t count = limit;
    if (need.milliCores > 0)
        count = std::min(count, available.milliCores / need.milliCores);
    if (need.memoryBytes > 0)
        count = std::min(count, available.memoryBytes / need.memoryBytes);
    if (need.accelerators > 0)
        count = std::min(count, available.accelerators / need.accelerators);
    return std::max<std::int64_t>(available.isNegative() ? 0 : count, 0);
}

AcceleratorClass acceleratorClassOf(const Resources &resources)
{
    return resources.accelerators > 0 ? AcceleratorClass::With : AcceleratorClass::Without;
}

} // namespace Pistachio::Placement
