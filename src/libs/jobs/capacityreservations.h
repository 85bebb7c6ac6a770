#pragma once

#include "core/time.h"
#include "jobs/minion.h"

#include <map>
#include <optional>
#include <string>

namespace Pistachio::Jobs
{

/// Capacity reserved for large tasks in one planning round, so that small tasks don't starve them by taking all
/// capacity as it becomes free.
class CapacityReservations
{
public:
    /// When a task is expected to fit on a minion, and the capacity that remains beside it.
    struct ExpectedFit {
        TimePoint time{};
        ResourceAmounts remaining;
    };

    void clear() { reservations_.clear(); }

    /// \return when \p demand is expected to fit, given the progress of the minion's runs, or nothing if it never fits.
    [[nodiscard]] static std::optional<ExpectedFit> expectedFit(const Minion &minion, const ResourceAmounts &demand,
                                                                TimePoint now);

    /// \return when the run is expected to end.
    [[nodiscard]] static TimePoint expectedEnd(const Run &run, TimePoint now);

    /// Reserves capacity on a minion. A minion has at most one reservation; a new one replaces it.
    void reserve(const std::string &minion, const ExpectedFit &fit) { reservations_[minion] = fit; }
    [[nodiscard]] bool isReserved(const std::string &minion) const { return reservations_.contains(minion); }

    /// \return whether another task may use \p demand there without delaying the one that the capacity is reserved for.
    [[nodiscard]] bool allows(const std::string &minion, const ResourceAmounts &demand) const;

    /// Subtracts the demand of another task placed on the minion.
    void consume(const std::string &minion, const ResourceAmounts &demand);

private:
    std::map<std::string, ExpectedFit> reservations_; ///< by the minion's id
};

} // namespace Pistachio::Jobs
