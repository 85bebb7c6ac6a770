#pragma once

#include "jobs/minion.h"

namespace Pistachio::Wire
{
class JobStep;
}

namespace Pistachio::Jobs
{

/// \return what a task of the step needs to run.
[[nodiscard]] ResourceAmounts demandOf(const Wire::JobStep &step);

/// \return what a task of the step takes of a minion's capacity; spare cores don't count.
[[nodiscard]] ResourceAmounts reservedBy(const Wire::JobStep &step);

/// \return whether several usual tasks have to end before the demand fits on a full minion.
[[nodiscard]] bool isLarge(const ResourceAmounts &demand, const ResourceAmounts &capacity);

} // namespace Pistachio::Jobs
