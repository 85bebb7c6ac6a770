#include "routing/retrybudget.h"

#include <algorithm>

namespace Pistachio::Routing
{

namespace
{
constexpr double retriesPerRequest = 0.1;
/// Unused retries are kept only up to this number, so that a quiet day does not permit a burst.
constexpr double maxSavedRetries = 50.0;
} // namespace

void RetryBudget::countRequest()
{
    retries_ = std::min(retries_ + retriesPerRequest, maxSavedRetries);
}

bool RetryBudget::take()
{
    if (!allows())
        return false;
    retries_ -= 1.0;
    return true;
}

bool RetryBudget::allows() const
{
    return retries_ >= 1.0;
}

} // namespace Pistachio::Routing
