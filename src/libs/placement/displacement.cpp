#include "placement/displacement.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{

constexpr std::uint32_t comparedWorkers = 16;
// A task that was displaced twice runs to its end, or the work it lost at each restart would add up without limit.
constexpr std::uint32_t mostDisplacements = 2;
// Urgent work starts within seconds. Other work first waits for room that appears by itself.
constexpr Duration promisedWait = 60s;
constexpr Duration normalWait = 10min;

bool mayDisplace(const Work &work, const PlacedTask &task)
{
    const bool lower
        = work.standing == Standing::Normal ? task.standing == Standing::Spare : task.standing >= Standing::Normal;
    return task.displaceable && lower;
}

/// Chooses the victims on one worker, lowest standing and least progress first.
std::optional<std::vector<const PlacedTask *>> victimsOn(const Work &work, const WorkerEntry &worker)
{
    std::vector<const PlacedTask *> candidates;
    for (const PlacedTask &task : worker.tasks) {
        if (mayDisplace(work, task))
            candidates.push_back(&task);
    }
    std::sort(candidates.begin(), candidates.end(), [](const PlacedTask *left, const PlacedTask *right) {
        if (left->standing != right->standing)
            return left->standing > right->standing;
        return left->startedAt > right->startedAt;
    });
    Resources room = worker.free();
    std::vector<const PlacedTask *> victims;
    for (const PlacedTask *task : candidates) {
        if (work.resources.fitsIn(room))
            break;
        room += task->resources;
        victims.push_back(task);
    }
    if (!work.resources.fitsIn(room))
        return std::nullopt;
    // Leaves out those that the last ones made unnecessary.
    std::erase_if(victims, [&](const PlacedTask *task) {
        if (!work.resources.fitsIn(room - task->resources))
            return false;
        room -= task->resources;
        return true;
    });
    return victims;
}

double costOf(const std::vector<const PlacedTask *> &victims, const WorkerEntry &worker, TimePoint now)
{
    double cost = 0;
    for (const PlacedTask *task : victims) {
        const double minutes = std::chrono::duration<double>(now - task->startedAt).count() / 60;
        const double share = static_cast<double>(task->resources.milliCores)
            / static_cast<double>(std::max<std::int64_t>(worker.capacity.milliCores, 1));
        cost += (task->standing == Standing::Spare ? 1.0 : 4.0) + share * (1 + minutes / 10);
    }
    return cost;
}

} // namespace

std::optional<Duration> waitBeforeDisplacing(const Work &work)
{
    // Stopping work on several workers for a gang would stop it for nothing when one of them is lost meanwhile; gangs
    // have reservations instead.
    if (work.kind == WorkKind::Gang)
        return std::nullopt;
    switch (work.standing) {
    case Standing::Urgent:
        return Duration::zero();
    case Standing::Promised:
        return promisedWait;
    case Standing::Normal:
        return normalWait;
    case Standing::Spare:
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<Displacement> findDisplacement(const Unit &unit, const Priority &priority, TimePoint now,
                                             const WorkerIndex &workers, const Reservations &reservations)
{
    std::optional<Displacement> best;
    double bestCost = 0;
    std::uint32_t compared = 0;
    const Work &work = *unit.work;
    workers.visitDisplaceable(work.resources, work.standing, [&](WorkerSlot slot) {
        const WorkerEntry &worker = workers.at(slot);
        if (!reservations.allows(now, unit, priority, worker))
            return false;
        const auto victims = victimsOn(work, worker);
        if (!victims || victims->empty())
            return false;
        const double cost = costOf(*victims, worker, now);
        if (!best || cost < bestCost) {
            bestCost = cost;
            best = Displacement{slot, {}, 0};
            for (const PlacedTask *task : *victims)
                best->victims.push_back(task->task);
        }
        return ++compared >= comparedWorkers;
    });
    if (best)
        best->candidates = compared;
    return best;
}

bool isDisplaceable(const Work &work, std::uint32_t displacements)
{
    return work.kind == WorkKind::Batch && work.checkpoint && work.standing >= Standing::Normal
        && displacements < mostDisplacements;
}

} // namespace Pistachio::Placement
