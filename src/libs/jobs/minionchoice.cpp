#include "jobs/minionchoice.h"

#include <jobs.pb.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace Pistachio::Jobs
{

namespace
{
constexpr Duration tightSlack = 1500ms; ///< with less slack, a fast minion is preferred to a full one
constexpr double tightKindWeight = 2; ///< of the kind's slowness, relative to the share of the minion that stays free
constexpr double looseKindWeight = -0.5; ///< leaves fast kinds to steps with tight slack
// Of a minion's difference from its kind. It outweighs the room on the minion, as one slow task delays a whole step.
constexpr double tightMinionWeight = 3;
constexpr double riskyMinionWeight = 1.5;
constexpr double looseMinionWeight = -1.5;
constexpr double stragglerFactor = 7; ///< run time of 3% of tasks relative to the expected one
constexpr std::uint32_t stragglerTasks = 8; ///< a quarter of the steps with as many tasks have a straggler
constexpr double remoteScore = 10; ///< added away from the data; outweighs any difference in speed
constexpr double unansweredScore
    = 5; ///< outweighs all but data locality: a task on an unresponsive minion waits for its lease to expire
constexpr double avoidedScore = 20; ///< outweighs all else: a long-running task runs badly there
constexpr double ranksPerSlowness = 4; ///< differences in speed of a quarter separate ranks
} // namespace

MinionChoice::MinionChoice(const StepNeeds &needs, TimePoint now, std::span<Minion *const> minions)
    : needs_(needs)
    , now_(now)
    , bound_(unavoidableSlowness(minions))
{
}

Duration MinionChoice::slackOn(double slowness) const
{
    const double delay = std::max(0.0, slowness - 1) * static_cast<double>(needs_.usual.count());
    return needs_.slack - Duration(std::llround(delay));
}

bool MinionChoice::isShortOfSlack(const Minion &minion) const
{
    return slackOn(minion.speed.slowness) < tightSlack;
}

double MinionChoice::differenceWeight(const Minion &minion) const
{
    if (isShortOfSlack(minion))
        return tightMinionWeight;
    const bool isRisky
        = needs_.step.tasks() >= stragglerTasks && slackOn(minion.speed.slowness * stragglerFactor) < Duration::zero();
    return isRisky ? riskyMinionWeight : looseMinionWeight;
}

std::size_t MinionChoice::placesOn(const Minion &minion) const
{
    const auto available = minion.freeCapacity();
    auto places = std::numeric_limits<std::int64_t>::max();
    const auto limit = [&places](std::int64_t amount, std::int64_t needed) {
        if (needed > 0)
            places = std::min(places, amount / needed);
    };
    limit(available.milliCores, needs_.demand.milliCores);
    limit(available.memoryMb, needs_.demand.memoryMb);
    limit(available.accelerators, needs_.demand.accelerators);
    if (needs_.step.max_per_minion() > 0)
        places = std::min<std::int64_t>(places, needs_.step.max_per_minion());
    return static_cast<std::size_t>(std::max<std::int64_t>(0, places));
}

double MinionChoice::unavoidableSlowness(std::span<Minion *const> minions) const
{
    if (needs_.tasks < 2 || minions.empty())
        return 0;
    const auto [fastest, slowest]
        = std::ranges::minmax_element(minions, {}, [](const auto *minion) { return minion->speed.slowness; });
    if (slackOn((*slowest)->speed.slowness) >= Duration::zero()
        || slackOn((*fastest)->speed.slowness) < Duration::zero())
        return 0;
    std::vector<std::pair<double, std::size_t>> places;
    places.reserve(minions.size());
    for (const auto *minion : minions)
        places.emplace_back(minion->speed.slowness, placesOn(*minion));
    std::ranges::sort(places);
    std::size_t found = 0;
    for (const auto &[slowness, count] : places) {
        found += std::min(count, needs_.tasks);
        if (found >= needs_.tasks)
            return slackOn(slowness) < Duration::zero() ? slowness : 0;
    }
    return 0;
}

double MinionChoice::score(const Minion &minion) const
{
    auto available = minion.freeCapacity();
    available -= needs_.demand;
    // Best fit keeps whole minions free for large tasks.
    double score = static_cast<double>(available.milliCores)
        / static_cast<double>(std::max<std::int64_t>(1, minion.report.milliCores));
    if (minion.report.accelerators > 0)
        score += static_cast<double>(available.accelerators) / static_cast<double>(minion.report.accelerators);
    if (!minion.hasLabel(needs_.step.data_rack()))
        score += remoteScore;
    if (minion.lastUnansweredAt != TimePoint{})
        score += unansweredScore;
    if (now_ < minion.avoidUntil)
        score += avoidedScore;
    const double difference = std::max(minion.speed.slowness, bound_) - minion.speed.kindSlowness;
    return score + minion.speed.kindSlowness * (isShortOfSlack(minion) ? tightKindWeight : looseKindWeight)
        + difference * differenceWeight(minion);
}

long MinionChoice::adviceRank(const Minion &minion) const
{
    const double difference = minion.speed.slowness - minion.speed.kindSlowness;
    return differenceWeight(minion) > 0 ? std::lround(difference * ranksPerSlowness) : 0;
}

} // namespace Pistachio::Jobs
