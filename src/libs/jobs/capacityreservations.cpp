#include "jobs/capacityreservations.h"

#include <algorithm>
#include <utility>

namespace Pistachio::Jobs
{

namespace
{
constexpr Duration minRemainingTime = 100ms; ///< assumed for a run that exceeds its expected run time
constexpr std::uint32_t minTrustedPercent = 5; ///< below it, the predicted run time is more reliable than the progress
} // namespace

TimePoint CapacityReservations::expectedEnd(const Run &run, TimePoint now)
{
    if (run.phase == RunPhase::Ending || run.phase == RunPhase::Stopping)
        return now + minRemainingTime;
    if (run.startedAt == TimePoint{})
        return now + std::max(run.expected, minRemainingTime);
    auto end = run.startedAt + run.expected;
    const auto worked = run.progressAt - run.startedAt;
    if (run.percent >= minTrustedPercent && worked > Duration::zero())
        end = run.startedAt + worked * 100 / run.percent;
    return std::max(end, now + minRemainingTime);
}

CapacityReservations::Slot &CapacityReservations::slotOf(const Minion &minion)
{
    if (minion.slot >= slots_.size())
        slots_.resize(minion.slot + 1);
    auto &slot = slots_[minion.slot];
    if (std::exchange(slot.round, round_) != round_) {
        slot.reservation.reset();
        slot.isWhole = false;
        slot.areEndsKnown = false;
    }
    return slot;
}

const CapacityReservations::Slot *CapacityReservations::knownSlot(const Minion &minion) const
{
    const bool isKnown = minion.slot < slots_.size() && slots_[minion.slot].round == round_;
    return isKnown ? &slots_[minion.slot] : nullptr;
}

std::optional<CapacityReservations::ExpectedFit>
CapacityReservations::expectedFit(const Minion &minion, const ResourceAmounts &demand, TimePoint now)
{
    auto available = minion.freeCapacity();
    if (demand.fitsIn(available)) {
        available -= demand;
        return ExpectedFit{now, available};
    }
    auto &slot = slotOf(minion);
    if (!std::exchange(slot.areEndsKnown, true)) {
        slot.ends.clear();
        for (const auto &[task, run] : minion.runs)
            slot.ends.emplace_back(expectedEnd(run, now), run.reserved);
        std::ranges::sort(slot.ends, {}, [](const auto &end) { return end.first; });
    }
    for (const auto &[time, reserved] : slot.ends) {
        available += reserved;
        if (!demand.fitsIn(available))
            continue;
        available -= demand;
        return ExpectedFit{time, available};
    }
    return std::nullopt;
}

bool CapacityReservations::isReserved(const Minion &minion) const
{
    const auto *slot = knownSlot(minion);
    return slot && slot->reservation;
}

bool CapacityReservations::allows(const Minion &minion, const ResourceAmounts &demand) const
{
    const auto *slot = knownSlot(minion);
    return !slot || !slot->reservation || demand.fitsIn(slot->reservation->remaining);
}

void CapacityReservations::consume(const Minion &minion, const ResourceAmounts &demand)
{
    auto &slot = slotOf(minion);
    slot.areEndsKnown = false;
    if (slot.reservation)
        slot.reservation->remaining -= demand;
}

void CapacityReservations::reserveWhole(const Minion &minion)
{
    auto &slot = slotOf(minion);
    if (std::exchange(slot.isWhole, true))
        return;
    wholeMinions_ = wholeMinions() + 1;
    wholeRound_ = round_;
}

bool CapacityReservations::isReservedWhole(const Minion &minion) const
{
    const auto *slot = knownSlot(minion);
    return slot && slot->isWhole;
}

} // namespace Pistachio::Jobs
