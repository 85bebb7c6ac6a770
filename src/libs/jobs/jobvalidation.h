#pragma once

#include "core/result.h"

namespace Pistachio::Wire
{
class JobConfiguration;
class JobSpec;
} // namespace Pistachio::Wire

namespace Pistachio::Jobs
{

/// \return InvalidArgument, naming the step and the value, for a job that the book can't hold.
Result<void> checkJob(const Wire::JobSpec &spec);

/// \return InvalidArgument, naming the queue, for a configuration that may not come into force.
Result<void> checkConfiguration(const Wire::JobConfiguration &configuration);

} // namespace Pistachio::Jobs
