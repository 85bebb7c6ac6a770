#include "placement/displacement.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{

constexpr std::uint32_t maxComparedWorkers = 16;
// A task that was displaced twice is left to finish; otherwise the work lost at each restart would add up without
// limit.
constexpr std::uint32_t maxDisplacements = 2;
// Urgent work has to start within seconds. Other work first waits for running tasks to end by themselves.
constexpr Duration promisedDisplacementDelay = 60s;
constexpr Duration normalDisplacementDelay = 2min;

/// Chooses the tasks to stop on one worker so that \p need fits, lowest standing and least progress first.
/// \param available resources that are free without stopping a task
/// \return the victims, or nothing when stopping all candidates would not be enough.
std::optional<std::vector<const PlacedTask *>> chooseVictims(const Work &work, const Resources &need,
                                                             const WorkerEntry &worker, Resources available)
{
    std::vector<const PlacedTask *> candidates;
    for (const PlacedTask &task : worker.tasks) {
        if (task.displaceable && mayDisplace(work, task.standing))
            candidates.push_back(&task);
    }
    std::sort(candidates.begin(), candidates.end(), [](const PlacedTask *left, const PlacedTask *right) {
        if (left->standing != right->standing)
            return left->standing > right->standing;
        return left->startedAt > right->startedAt;
    });
    std::vector<const PlacedTask *> victims;
    for (const PlacedTask *task : candidates) {
        if (need.fitsIn(available))
            break;
        available += task->resources;
        victims.push_back(task);
    }
    if (!need.fitsIn(available))
        return std::nullopt;
    // Removes victims that those chosen after them made unnecessary.
    std::erase_if(victims, [&](const PlacedTask *task) {
        if (!need.fitsIn(available - task->resources))
            return false;
        available -= task->resources;
        return true;
    });
    return victims;
}

double displacementCost(const std::vector<const PlacedTask *> &victims, const WorkerEntry &worker, TimePoint now)
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

std::optional<Duration> displacementDelay(const Work &work)
{
    switch (work.standing) {
    case Standing::Urgent:
        return Duration::zero();
    case Standing::Promised:
        return promisedDisplacementDelay;
    case Standing::Normal:
        return normalDisplacementDelay;
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
        const auto victims = chooseVictims(work, work.resources, worker, worker.free());
        if (!victims || victims->empty())
            return false;
        const double cost = displacementCost(*victims, worker, now);
        if (!best || cost < bestCost) {
            bestCost = cost;
            best = Displacement{slot, {}, 0};
            for (const PlacedTask *task : *victims)
                best->victims.push_back(task->task);
        }
        return ++compared >= maxComparedWorkers;
    });
    if (best)
        best->candidates = compared;
    return best;
}

bool mayDisplace(const Work &work, Standing standing)
{
    if (work.standing == Standing::Normal && work.kind != WorkKind::Gang)
        return standing == Standing::Spare;
    // A gang of normal standing may displace normal work too, since resources for a whole gang rarely become free by
    // themselves, and those already free may be idle until the rest is.
    return standing >= Standing::Normal;
}

std::vector<Displacement> findGangDisplacements(const Unit &holder, const std::vector<WorkerSlot> &reserved,
                                                const WorkerIndex &workers)
{
    const Work &work = *holder.work;
    struct Option {
        double cost = 0; // victims added by this step
        std::int64_t tasks = 0; // tasks of the holder that fit on the worker after this step
        Displacement displacement;
    };
    const auto taskCount = static_cast<std::int64_t>(holder.tasks.size());
    std::int64_t unplaced = taskCount;
    std::vector<Option> options;
    for (const WorkerSlot slot : reserved) {
        const WorkerEntry &worker = workers.at(slot);
        // Tasks that are stopping already, for this unit or another reason, free their resources without further
        // victims.
        Resources available = worker.free();
        for (const PlacedTask &task : worker.tasks) {
            if (task.stopping)
                available += task.resources;
        }
        std::int64_t fitting = fittingTaskCount(work.resources, available, taskCount);
        unplaced -= fitting;
        // Each further task of the holder may need more victims on the worker; the cheapest steps are chosen below.
        std::size_t previousVictims = 0;
        while (fitting < taskCount) {
            const auto victims = chooseVictims(work, work.resources.times(++fitting), worker, available);
            if (!victims)
                break;
            Option option{static_cast<double>(victims->size() - std::min(previousVictims, victims->size())),
                          fitting,
                          {slot, {}, 0}};
            for (const PlacedTask *task : *victims)
                option.displacement.victims.push_back(task->task);
            previousVictims = victims->size();
            options.push_back(std::move(option));
        }
    }
    std::stable_sort(options.begin(), options.end(), [](const Option &left, const Option &right) {
        return left.cost != right.cost ? left.cost < right.cost : left.tasks < right.tasks;
    });
    std::vector<Displacement> chosen;
    for (Option &option : options) {
        if (unplaced <= 0)
            break;
        --unplaced;
        const auto sameWorker = std::find_if(chosen.begin(), chosen.end(), [&](const Displacement &displacement) {
            return displacement.worker == option.displacement.worker;
        });
        if (sameWorker == chosen.end())
            chosen.push_back(std::move(option.displacement));
        else if (sameWorker->victims.size() < option.displacement.victims.size())
            *sameWorker = std::move(option.displacement);
    }
    if (unplaced > 0)
        chosen.clear();
    return chosen;
}

bool isDisplaceable(const Work &work, std::uint32_t displacements)
{
    return work.kind == WorkKind::Batch && work.checkpoint && work.standing >= Standing::Normal
        && displacements < maxDisplacements;
}

} // namespace Pistachio::Placement
