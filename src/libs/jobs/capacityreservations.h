#pragma once

#include "core/time.h"
#include "jobs/minion.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Pistachio::Jobs
{

/// Capacity reserved for large tasks, gangs and long-running tasks in one planning round, so that small tasks don't
/// starve them by taking all capacity as it becomes free.
class CapacityReservations
{
public:
    /// When a task is expected to fit on a minion, and the capacity that remains beside it.
    struct ExpectedFit {
        TimePoint time{};
        ResourceAmounts remaining;
    };

    void clear()
    {
        reservations_.clear();
        reservedWhole_.clear();
    }

    /// \return when \p demand is expected to fit, given the progress of the minion's runs, or nothing if it never fits.
    [[nodiscard]] std::optional<ExpectedFit> expectedFit(const Minion &minion, const ResourceAmounts &demand,
                                                         TimePoint now);

    /// \return when the run is expected to end.
    [[nodiscard]] static TimePoint expectedEnd(const Run &run, TimePoint now);

    /// Reserves capacity on a minion. A minion has at most one reservation; a new one replaces it.
    void reserve(const Minion &minion, const ExpectedFit &fit) { reservations_[&minion] = fit; }
    [[nodiscard]] bool isReserved(const Minion &minion) const { return reservations_.contains(&minion); }

    /// \return whether another task may use \p demand there without delaying the one that the capacity is reserved for.
    [[nodiscard]] bool allows(const Minion &minion, const ResourceAmounts &demand) const;

    /// Subtracts the demand of another task placed on the minion.
    void consume(const Minion &minion, const ResourceAmounts &demand);

    /// Reserves a minion as a whole for a gang or for long-running tasks.
    void reserveWhole(const Minion &minion) { reservedWhole_.insert(&minion); }
    [[nodiscard]] bool isReservedWhole(const Minion &minion) const { return reservedWhole_.contains(&minion); }
    [[nodiscard]] std::size_t wholeMinions() const { return reservedWhole_.size(); }

private:
    std::unordered_map<const Minion *, ExpectedFit> reservations_;
    std::unordered_set<const Minion *> reservedWhole_;
    std::vector<std::pair<TimePoint, ResourceAmounts>> ends_; ///< of a minion's runs; kept to save its allocation
};

} // namespace Pistachio::Jobs
