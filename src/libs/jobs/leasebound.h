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

    /// The known incarnation has taken the place of another one. Until it has answered an order of its own, orders for
    /// the other one may still give it a lease of any length.
    /// \param expiry when such a lease has expired if none of its answers arrives
    void awaitFence(TimePoint expiry);

    /// Such an incarnation has answered an order of its own, and refuses orders for the other one from now on.
    /// \param expiry when a lease has expired that it got before
    void fenceSeen(TimePoint expiry);

    /// \return whether fenceSeen() is to be called at the next answer.
    [[nodiscard]] bool awaitsFence() const { return unfenced_ != TimePoint{}; }

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
    TimePoint unfenced_{}; ///< zero: no orders for another incarnation have effect
    TimePoint laterIncarnation_{};
};

/// How long an order may be under way that was left unanswered. Only needed where no answer tells whether it has
/// effect.
constexpr Duration longestOrderDelay = 12s;
constexpr Duration leaseMargin = 100ms; ///< rounding of both clocks, and the network delay of the last order

/// The lowest rate of a minion's clock relative to real time. Leases are assumed to last longer accordingly.
constexpr double minClockRate = 0.98;

/// \return the longest time for which a lease lasts on the slowest clock.
[[nodiscard]] Duration longestTime(Duration lease);

} // namespace Pistachio::Jobs
