#pragma once

#include "core/result.h"

#include <cstdint>

namespace Pistachio::Wire
{
class JobConfiguration;
class JobSpec;
} // namespace Pistachio::Wire

namespace Pistachio::Jobs
{

/// \return InvalidArgument, naming the step and the value, for an invalid or too large job.
Result<void> checkJob(const Wire::JobSpec &spec);

/// For jobs that were stored, perhaps by a version that checked less.
/// \return whether the job can be held: its tasks are few enough, and its steps depend on earlier ones only.
[[nodiscard]] bool canBeHeld(const Wire::JobSpec &spec);

/// Moves amounts, durations and times out of range, which checkJob() refuses, to the next value that can be added up.
void limitNumbers(Wire::JobSpec &spec);

/// \return the amount, or the nearest one that can be added up over all minions.
[[nodiscard]] std::int64_t limitedAmount(std::int64_t amount);

/// \return InvalidArgument, naming the queue or team, for an invalid configuration. The message holds no key.
Result<void> checkConfiguration(const Wire::JobConfiguration &configuration);

} // namespace Pistachio::Jobs
