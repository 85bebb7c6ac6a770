#pragma once

namespace Pistachio::Routing
{

/// Limits attempts beyond the first to a tenth of the requests, so that retries can't multiply an overload.
class RetryBudget
{
public:
    /// Counts a request and earns a tenth of a retry.
    void countRequest();
    /// Takes one retry.
    /// \return whether the budget allowed it.
    bool takeRetry();
    /// \return whether `take` would succeed.
    [[nodiscard]] bool hasRetry() const;

private:
    double availableRetries_ = 10.0; ///< lets an entry with few requests retry at all
};

} // namespace Pistachio::Routing
