#pragma once

#include "core/time.h"
#include "jobs/minion.h"

#include <cstddef>
#include <cstdint>
#include <optional>
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

    /// Begins a round without reservations.
    void clear() { ++round_; }

    /// \return when \p demand is expected to fit, given the progress of the minion's runs, or nothing if it never fits.
    [[nodiscard]] std::optional<ExpectedFit> expectedFit(const Minion &minion, const ResourceAmounts &demand,
                                                         TimePoint now);

    /// \return when the run is expected to end.
    [[nodiscard]] static TimePoint expectedEnd(const Run &run, TimePoint now);

    /// Reserves capacity on a minion. A minion has at most one reservation; a new one replaces it.
    void reserve(const Minion &minion, const ExpectedFit &fit) { slotOf(minion).reservation = fit; }
    [[nodiscard]] bool isReserved(const Minion &minion) const;

    /// \return whether another task may use \p demand there without delaying the one that the capacity is reserved for.
    [[nodiscard]] bool allows(const Minion &minion, const ResourceAmounts &demand) const;

    /// Subtracts the demand of another task placed on the minion.
    void consume(const Minion &minion, const ResourceAmounts &demand);

    /// The runs of the minion have changed in this round, or are told to stop.
    void runsChanged(const Minion &minion) { slotOf(minion).areEndsKnown = false; }

    /// Reserves a minion as a whole for a gang or for long-running tasks.
    void reserveWhole(const Minion &minion);
    [[nodiscard]] bool isReservedWhole(const Minion &minion) const;
    [[nodiscard]] std::size_t wholeMinions() const { return wholeRound_ == round_ ? wholeMinions_ : 0; }

private:
    /// What a round knows of a minion.
    struct Slot {
        std::uint64_t round = 0; ///< the other fields are of an earlier round if it is not the current one
        std::optional<ExpectedFit> reservation;
        bool isWhole = false;
        bool areEndsKnown = false;
        std::vector<std::pair<TimePoint, ResourceAmounts>> ends; ///< of its runs, in their order
    };

    Slot &slotOf(const Minion &minion);
    /// \return what is known of the minion in this round, or null.
    [[nodiscard]] const Slot *knownSlot(const Minion &minion) const;

    std::uint64_t round_ = 1;
    std::vector<Slot> slots_; ///< by the minion's slot
    std::uint64_t wholeRound_ = 0; ///< of wholeMinions_
    std::size_t wholeMinions_ = 0;
};

} // namespace Pistachio::Jobs
