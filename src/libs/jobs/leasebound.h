#pragma once

#include "core/time.h"

namespace Pistachio::Jobs
{

/// Until when anything may run on a minion, on the leader's clock.
///
/// A lease applies to all that runs on a minion and never shortens, so no bound here does either. Only what was assumed
/// of an incarnation that the leader doesn't know can be disproved.
class LeaseBound
{
public:
    /// Adds a lease of usual length that this leader or an earlier one may have granted.
    /// \param expiry when it has expired on the slowest clock
    void grant(TimePoint expiry);

    /// Adds a lease of any length that the known incarnation may hold for another reason.
    /// \param expiry when it has expired on the slowest clock
    void assume(TimePoint expiry);

    /// Adds a lease that a later incarnation may hold, which the leader doesn't know.
    /// \param expiry when it has expired on the slowest clock
    void assumeLaterIncarnation(TimePoint expiry);

    /// The known incarnation has answered, so there was no later one.
    void disproveLaterIncarnation();

    /// \return when the granted leases have expired.
    [[nodiscard]] TimePoint grantedUntil() const { return granted_; }
    /// \return when the leases of a later incarnation have expired; zero if there may be none.
    [[nodiscard]] TimePoint laterIncarnationUntil() const { return laterIncarnation_; }

    /// \return when the known incarnation can run nothing more that it was ordered to start.
    [[nodiscard]] TimePoint knownIncarnationEnd() const;
    /// \return when neither the known incarnation nor a later one can.
    [[nodiscard]] TimePoint end() const;

private:
    TimePoint granted_{};
    TimePoint assumed_{};
    TimePoint laterIncarnation_{};
};

constexpr Duration maxOrderDelay = 500ms; ///< after which an order that was given up doesn't arrive any more
constexpr Duration leaseMargin = 100ms; ///< rounding of both clocks, and the network delay of the last order

/// The lowest rate of a minion's clock relative to real time. Leases are assumed to last longer accordingly.
constexpr double minClockRate = 0.98;

/// \return the longest time for which a lease lasts on the slowest clock.
[[nodiscard]] Duration longestTime(Duration lease);

} // namespace Pistachio::Jobs
