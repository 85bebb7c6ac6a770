// Which minions may run a step, and whether there is room for a task of it.

#include "jobs/demand.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"

#include <jobs.pb.h>

#include <algorithm>
#include <limits>

namespace Pistachio::Jobs
{

namespace
{
constexpr Duration maxContactAge = 2500ms; ///< a minion that has not answered for this long gets no new tasks
} // namespace

bool JobScheduler::isUsable(const Minion &minion, bool isLongRunning) const
{
    return minion.leaseConfirmed && !minion.removalProposed && !minion.report.draining && minion.clockMs
        && now_.time < minion.lastContactAt + maxContactAge && now_.time >= minion.refusesUntil
        && (isLongRunning || now_.time >= minion.avoidUntil);
}

std::optional<JobScheduler::StepRequirements> JobScheduler::requirementsOf(const Job &job, const StepName &name) const
{
    const auto *queue = store_.queue(job.submission().queue());
    if (!queue)
        return std::nullopt;
    const auto &step = job.spec(name.step);
    return StepRequirements{*queue, step, reservedBy(step)};
}

bool JobScheduler::isEligible(const Minion &minion, const StepRequirements &requirements)
{
    return requirements.demand.fitsIn(minion.capacity()) && minion.report.service == requirements.queue.service()
        && minion.hasLabel(requirements.step.required_label());
}

std::vector<Minion *> JobScheduler::eligibleMinions(const StepName &name, const StepRequirements &requirements,
                                                    Tickets tickets, Room room)
{
    std::vector<Minion *> result;
    const auto consider = [&](Minion &minion) {
        if (room == Room::Now && !fits(minion, requirements, name, room))
            return;
        if (isUsable(minion, requirements.step.long_running()) && isEligible(minion, requirements)
            && !reservations_.isReservedWhole(minion))
            result.push_back(&minion);
    };
    if (!requirements.queue.needs_advice()) {
        for (auto *minion : fleet_.minionsOf(requirements.queue.service()))
            consider(*minion);
        return result;
    }
    const auto until = ticketNeededUntil(requirements.queue);
    for (const auto &ticket : advice_.adviceFor(name).approved) {
        if (ticket.minion && (tickets == Tickets::Known || ticket.validUntil >= until))
            consider(*ticket.minion);
    }
    return result;
}

bool JobScheduler::fits(const Minion &minion, const StepRequirements &requirements, const StepName &name,
                        Room room) const
{
    const auto limit = requirements.step.max_per_minion();
    if (limit > 0 && minion.taskCount(name) >= limit)
        return false;
    return requirements.demand.fitsIn(room == Room::Now ? minion.freeCapacity() : capacityOnceFree(minion));
}

ResourceAmounts JobScheduler::capacityOnceFree(const Minion &minion) const
{
    auto available = minion.capacity();
    for (const auto &[task, run] : minion.runs) {
        const auto *job = store_.job(task.step.job);
        if (job && job->spec(task.step.step).long_running())
            available -= run.reserved;
    }
    return available;
}

std::uint32_t JobScheduler::placesOnceFree(const Minion &minion, const StepRequirements &requirements) const
{
    const auto &step = requirements.step;
    const auto limit = step.max_per_minion() > 0 ? std::min(step.max_per_minion(), step.tasks()) : step.tasks();
    const auto capacity = capacityOnceFree(minion);
    std::uint32_t places = 0;
    for (auto sum = requirements.demand; places < limit && sum.fitsIn(capacity); sum += requirements.demand)
        ++places;
    return places;
}

bool JobScheduler::hasIdleCores(const Minion &minion, const Wire::JobStep &step)
{
    const auto idle = minion.freeCapacity().milliCores - minion.spareMilliCoresUsed();
    return !step.uses_spare_cores() || step.milli_cores() <= idle;
}

bool JobScheduler::mayShareCores(const Wire::JobStep &step, const StepName &name) const
{
    if (step.long_running())
        return true;
    const auto *job = store_.job(name.job);
    const auto waiting = queue_.steps().find(name);
    if (!job || job->hasAssignedTasks() || waiting == queue_.steps().end())
        return false;
    // Tasks that are neither done nor waiting have been placed, which need not be stored yet.
    return job->step(name.occurrence, name.step)->done + waiting->second.tasks.size() >= step.tasks();
}

JobScheduler::CapacityBounds JobScheduler::capacityBounds(const std::string &service) const
{
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    CapacityBounds bounds{{0, 0, 0}, {0, 0, 0}, {most, most, most}};
    const auto raise = [](std::int64_t &bound, std::int64_t value) { bound = std::max(bound, value); };
    const auto raiseAll = [&raise](ResourceAmounts &bound, const ResourceAmounts &value) {
        raise(bound.milliCores, value.milliCores);
        raise(bound.memoryMb, value.memoryMb);
        raise(bound.accelerators, value.accelerators);
    };
    const auto lower = [](std::int64_t &bound, std::int64_t value) { bound = std::min(bound, value); };
    for (const auto *minion : fleet_.minionsOf(service)) {
        if (!isUsable(*minion, true))
            continue;
        const auto available = minion->freeCapacity();
        raiseAll(bounds.maxFreeForLongRunning, available);
        if (!isUsable(*minion, false))
            continue;
        raiseAll(bounds.maxFree, available);
        const auto capacity = minion->capacity();
        lower(bounds.minCapacity.milliCores, capacity.milliCores);
        lower(bounds.minCapacity.memoryMb, capacity.memoryMb);
        lower(bounds.minCapacity.accelerators, capacity.accelerators);
    }
    return bounds;
}

} // namespace Pistachio::Jobs
