#pragma once

namespace Pistachio::Routing
{

/// Limits retries to a tenth of the requests, so that they can't multiply an overload.
class RetryBudget
{
public:
    /// Counts a request, which adds a tenth of a retry to the budget.
    void countRequest();
    /// Takes a retry from the budget.
    /// \return whether one was available.
    bool takeRetry();
    /// \return whether `takeRetry` would succeed.
    [[nodiscard]] bool hasRetry() const;

private:
    double availableRetries_ = 10.0; ///< starts above 0 so that an entry with few requests can retry
};

} // namespace Pistachio::Routing
