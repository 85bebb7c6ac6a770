#pragma once

#include "core/random.h"
#include "core/time.h"

#include <cstdint>

namespace Pistachio::Jobs
{

/// Exponential backoff with jitter for orders that were not confirmed.
class RetryBackoff
{
public:
    static constexpr Duration shortestDelay = 20ms;
    static constexpr Duration longestDelay = 640ms;

    explicit RetryBackoff(std::uint64_t seed);

    /// \param failures attempts in a row that failed, above zero
    /// \return how long to wait until the next attempt: doubled with each failure, up to a quarter less or more.
    [[nodiscard]] Duration delay(std::uint32_t failures);

private:
    RandomSource random_;
};

} // namespace Pistachio::Jobs
