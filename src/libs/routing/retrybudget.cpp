#include "routing/retrybudget.h"

#include <algorithm>

namespace Pistachio::Routing
{

namespace
{
constexpr double retriesPerRequest = 0.1;
/// Limits the unused retries, so that a time of few failures does not permit a burst of retries later.
constexpr double maxAvailableRetries = 50.0;
} // namespace

void RetryBudget::countRequest()
{
    availableRetries_ = std::min(availableRetries_ + retriesPerRequest, maxAvailableRetries);
}

bool RetryBudget::takeRetry()
{
    if (!hasRetry())
        return false;
    availableRetries_ -= 1.0;
    return true;
}

bool RetryBudget::hasRetry() const
{
    return availableRetries_ >= 1.0;
}

} // namespace Pistachio::Routing
