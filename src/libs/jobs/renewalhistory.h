#pragma once

#include "core/time.h"
#include "jobs/orders.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Pistachio::Jobs
{

/// The last lease renewals of a minion, for the log. Recording one allocates nothing.
class RenewalHistory
{
public:
    void sent(TimePoint now, const LeaseOrder &order);
    /// Records the answer to the last renewal.
    /// \param seenEnd the last end that the minion has listed so far
    void answered(TimePoint now, OrderOutcome outcome, std::uint64_t seenEnd);

    /// \return the renewals that are kept, the earliest first.
    [[nodiscard]] std::string toString(TimePoint now) const;

private:
    struct Renewal {
        TimePoint sentAt{};
        TimePoint answeredAt{}; ///< zero: not yet
        Duration wait{};
        OrderOutcome outcome = OrderOutcome::Unanswered;
        std::optional<std::int64_t> leaseExpiresAtMs; ///< on the minion's clock
        std::uint64_t acknowledgedEnd = 0;
        std::uint64_t seenEnd = 0;
    };
    static constexpr std::size_t kept = 6;

    std::array<Renewal, kept> renewals_;
    std::size_t next_ = 0; ///< the earliest, which the next one replaces
};

} // namespace Pistachio::Jobs
