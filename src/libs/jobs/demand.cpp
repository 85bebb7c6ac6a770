#include "jobs/demand.h"

#include <jobs.pb.h>

namespace Pistachio::Jobs
{

namespace
{
constexpr std::int64_t largeShare = 4; ///< a task is large from this part of a minion on
}

ResourceAmounts demandOf(const Wire::JobStep &step)
{
    return {step.milli_cores(), step.memory_mb(), step.accelerators()};
}

ResourceAmounts reservedBy(const Wire::JobStep &step)
{
    return {step.uses_spare_cores() ? 0 : step.milli_cores(), step.memory_mb(), step.accelerators()};
}

bool isLarge(const ResourceAmounts &demand, const ResourceAmounts &capacity)
{
    return demand.milliCores * largeShare >= capacity.milliCores || demand.memoryMb * largeShare >= capacity.memoryMb
        || (demand.accelerators > 0 && demand.accelerators * largeShare >= capacity.accelerators);
}

} // namespace Pistachio::Jobs
