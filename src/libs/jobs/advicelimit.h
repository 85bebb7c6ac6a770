#pragma once

#include "core/time.h"

#include <cstddef>

namespace Pistachio::Wire
{
class JobQueue;
}

namespace Pistachio::Jobs
{

/// \return how long a request for advice on so many minions may take if it waits at the service behind another one of
/// the same instance.
[[nodiscard]] Duration adviceLimit(const Wire::JobQueue &queue, std::size_t minions);

} // namespace Pistachio::Jobs
