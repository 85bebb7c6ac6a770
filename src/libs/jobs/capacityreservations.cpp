#include "jobs/capacityreservations.h"

#include <algorithm>

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

std::optional<CapacityReservations::ExpectedFit>
CapacityReservations::expectedFit(const Minion &minion, const ResourceAmounts &demand, TimePoint now)
{
    auto available = minion.freeCapacity();
    ends_.clear();
    if (!demand.fitsIn(available)) {
        for (const auto &[task, run] : minion.runs)
            ends_.emplace_back(expectedEnd(run, now), run.reserved);
    }
    std::ranges::sort(ends_, {}, [](const auto &end) { return end.first; });
    auto at = now;
    for (auto next = ends_.begin(); !demand.fitsIn(available); ++next) {
        if (next == ends_.end())
            return std::nullopt;
        at = next->first;
        available += next->second;
    }
    available -= demand;
    return ExpectedFit{at, available};
}

bool CapacityReservations::allows(const Minion &minion, const ResourceAmounts &demand) const
{
    const auto found = reservations_.find(&minion);
    return found == reservations_.end() || demand.fitsIn(found->second.remaining);
}

void CapacityReservations::consume(const Minion &minion, const ResourceAmounts &demand)
{
    const auto found = reservations_.find(&minion);
    if (found != reservations_.end())
        found->second.remaining -= demand;
}

} // namespace Pistachio::Jobs
