#include "jobs/roomplan.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Pistachio::Jobs
{

namespace
{
constexpr Duration shortestRest = 100ms; ///< of a run that has outlived what it was expected to take
constexpr std::uint32_t percentTrusted = 5; ///< below, the progress says less than what tasks usually take
} // namespace

TimePoint RoomPlan::expectedEnd(const Run &run, TimePoint now)
{
    if (run.phase == RunPhase::Ending || run.phase == RunPhase::Stopping)
        return now + shortestRest;
    if (run.startedAt == TimePoint{})
        return now + std::max(run.expected, shortestRest);
    auto end = run.startedAt + run.expected;
    const auto worked = run.progressAt - run.startedAt;
    if (run.percent >= percentTrusted && worked > Duration::zero())
        end = run.startedAt + worked * 100 / run.percent;
    return std::max(end, now + shortestRest);
}

std::optional<RoomPlan::Opening> RoomPlan::openingFor(const Minion &minion, const ResourceAmounts &demand,
                                                      TimePoint now)
{
    auto room = minion.room();
    std::vector<std::pair<TimePoint, ResourceAmounts>> ends;
    for (const auto &[task, run] : minion.runs)
        ends.emplace_back(expectedEnd(run, now), run.reserved);
    std::sort(ends.begin(), ends.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    auto at = now;
    for (auto next = ends.begin(); !demand.fitsIn(room); ++next) {
        if (next == ends.end())
            return std::nullopt;
        at = next->first;
        room += next->second;
    }
    room -= demand;
    return Opening{at, room};
}

bool RoomPlan::allows(const std::string &minion, const ResourceAmounts &demand) const
{
    const auto found = kept_.find(minion);
    return found == kept_.end() || demand.fitsIn(found->second.left);
}

void RoomPlan::taken(const std::string &minion, const ResourceAmounts &demand)
{
    const auto found = kept_.find(minion);
    if (found != kept_.end())
        found->second.left -= demand;
}

} // namespace Pistachio::Jobs
