#include "jobs/demand.h"

#include <jobs.pb.h>

namespace Pistachio::Jobs
{

namespace
{
constexpr std::int64_t largeTaskDivisor = 4; ///< a task is large if it needs at least 1/4 of a minion
}

ResourceAmounts demandOf(const Wire::JobStep &step)
{
    return {step.milli_cores(), step.memory_mb(), step.accelerators()};
}

ResourceAmounts reservedBy(const Wire::JobStep &step)
{
    return {step.uses_spare_cores() ? 0 : step.milli_cores(), step.memory_mb(), step.accelerators()};
}

std::int64_t spareMilliCoresOf(const Wire::JobStep &step)
{
    return step.uses_spare_cores() ? step.milli_cores() : 0;
}

bool isLarge(const ResourceAmounts &demand, const ResourceAmounts &capacity)
{
    return demand.milliCores * largeTaskDivisor >= capacity.milliCores
        || demand.memoryMb * largeTaskDivisor >= capacity.memoryMb
        || (demand.accelerators > 0 && demand.accelerators * largeTaskDivisor >= capacity.accelerators);
}

} // namespace Pistachio::Jobs
