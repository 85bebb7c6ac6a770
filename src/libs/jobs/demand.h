#pragma once

#include "jobs/minion.h"

namespace Pistachio::Wire
{
class JobStep;
}

namespace Pistachio::Jobs
{

/// \return the resources that a task of the step uses, be they reserved or not.
[[nodiscard]] ResourceAmounts demandOf(const Wire::JobStep &step);

/// \return the resources that a task of the step reserves on a minion; spare cores are not reserved.
[[nodiscard]] ResourceAmounts reservedBy(const Wire::JobStep &step);

/// \return the cores that a task of the step uses without a reservation.
[[nodiscard]] std::int64_t spareMilliCoresOf(const Wire::JobStep &step);

/// \return whether the demand is so large that several average tasks have to end before it fits on a full minion.
[[nodiscard]] bool isLarge(const ResourceAmounts &demand, const ResourceAmounts &capacity);

} // namespace Pistachio::Jobs
