#pragma once

#include "core/result.h"

namespace Pistachio::Wire
{
class JobConfiguration;
class JobSpec;
} // namespace Pistachio::Wire

namespace Pistachio::Jobs
{

/// \return InvalidArgument, naming the step and the value, for an invalid or too large job.
Result<void> checkJob(const Wire::JobSpec &spec);

/// \return InvalidArgument, naming the queue, for an invalid configuration.
Result<void> checkConfiguration(const Wire::JobConfiguration &configuration);

} // namespace Pistachio::Jobs
