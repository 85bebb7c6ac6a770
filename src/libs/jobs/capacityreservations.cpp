#include "jobs/capacityreservations.h"

#include <algorithm>
#include <utility>
#include <vector>

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
    std::vector<std::pair<TimePoint, ResourceAmounts>> ends;
    for (const auto &[task, run] : minion.runs)
        ends.emplace_back(expectedEnd(run, now), run.reserved);
    std::sort(ends.begin(), ends.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    auto at = now;
    for (auto next = ends.begin(); !demand.fitsIn(available); ++next) {
        if (next == ends.end())
            return std::nullopt;
        at = next->first;
        available += next->second;
    }
    available -= demand;
    return ExpectedFit{at, available};
}

bool CapacityReservations::allows(const std::string &minion, const ResourceAmounts &demand) const
{
    const auto found = reservations_.find(minion);
    return found == reservations_.end() || demand.fitsIn(found->second.remaining);
}

void CapacityReservations::consume(const std::string &minion, const ResourceAmounts &demand)
{
    const auto found = reservations_.find(minion);
    if (found != reservations_.end())
        found->second.remaining -= demand;
}

} // namespace Pistachio::Jobs
