#include "jobs/fastplacewait.h"

#include "jobs/capacityreservations.h"
#include "jobs/minionchoice.h"

#include <jobs.pb.h>

#include <cmath>

namespace Pistachio::Jobs
{

namespace
{
constexpr Duration maxWait = 1s; ///< a third of the time within which a step has to start while there is capacity
constexpr Duration turnaround = 100ms; ///< from the end of a run to the start of the next: both are committed

Duration runTimeOn(const Minion &minion, Duration usual)
{
    return Duration(std::llround(static_cast<double>(usual.count()) * minion.speed.slowness));
}

double difference(const Minion &minion)
{
    return minion.speed.slowness - minion.speed.kindSlowness;
}
} // namespace

const Minion *FastPlaceWait::betterMinion(const StepNeeds &needs, const Minion &best,
                                          std::span<Minion *const> candidates, CapacityReservations &reservations,
                                          TimePoint now, Duration waited)
{
    if (waited >= maxWait)
        return nullptr;
    const auto end = now + runTimeOn(best, needs.usual);
    for (const auto *minion : candidates) {
        const bool isFaster = difference(*minion) < difference(best);
        if (!isFaster || minion == &best || awaited_.contains(minion) || now < minion->avoidUntil
            || needs.demand.fitsIn(minion->freeCapacity()) || !minion->hasLabel(needs.step.data_rack()))
            continue;
        const auto fit = reservations.expectedFit(*minion, needs.demand, now);
        if (!fit || fit->time + turnaround + runTimeOn(*minion, needs.usual) >= end)
            continue;
        awaited_.insert(minion);
        return minion;
    }
    return nullptr;
}

} // namespace Pistachio::Jobs
