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
constexpr Duration normalWait = 2min;

/// Chooses the victims on one worker that has \p room already, lowest standing and least progress first.
std::optional<std::vector<const PlacedTask *>> victimsOn(const Work &work, const Resources &need,
                                                         const WorkerEntry &worker, Resources room)
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
        if (need.fitsIn(room))
            break;
        room += task->resources;
        victims.push_back(task);
    }
    if (!need.fitsIn(room))
        return std::nullopt;
    // Leaves out those that the last ones made unnecessary.
    std::erase_if(victims, [&](const PlacedTask *task) {
        if (!need.fitsIn(room - task->resources))
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
        const auto victims = victimsOn(work, work.resources, worker, worker.free());
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

bool mayDisplace(const Work &work, Standing standing)
{
    // Room for all tasks of a gang rarely appears by itself, and stands idle while it is gathered.
    if (work.standing == Standing::Normal && work.kind != WorkKind::Gang)
        return standing == Standing::Spare;
    return standing >= Standing::Normal;
}

std::vector<Displacement> findDisplacementsFor(const Unit &holder, const std::vector<WorkerSlot> &reserved,
                                               const WorkerIndex &workers)
{
    const Work &work = *holder.work;
    struct Option {
        double cost = 0; // of each task of the holder
        std::int64_t tasks = 0; // of the holder, more than fit without victims
        Displacement displacement;
    };
    const auto wanted = static_cast<std::int64_t>(holder.tasks.size());
    std::int64_t open = wanted;
    std::vector<Option> options;
    for (const WorkerSlot slot : reserved) {
        const WorkerEntry &worker = workers.at(slot);
        // Tasks that were told to stop before, for this unit or otherwise, make room without further victims.
        Resources room = worker.free();
        for (const PlacedTask &task : worker.tasks) {
            if (task.stopping)
                room += task.resources;
        }
        std::int64_t count = countThatFits(work.resources, room, wanted);
        open -= count;
        // Each further task on the worker may need more victims; the cheapest steps are taken first below.
        std::size_t before = 0;
        while (count < wanted) {
            const auto victims = victimsOn(work, work.resources.times(++count), worker, room);
            if (!victims)
                break;
            Option option{
                static_cast<double>(victims->size() - std::min(before, victims->size())), count, {slot, {}, 0}};
            for (const PlacedTask *task : *victims)
                option.displacement.victims.push_back(task->task);
            before = victims->size();
            options.push_back(std::move(option));
        }
    }
    std::stable_sort(options.begin(), options.end(), [](const Option &left, const Option &right) {
        return left.cost != right.cost ? left.cost < right.cost : left.tasks < right.tasks;
    });
    std::vector<Displacement> chosen;
    for (Option &option : options) {
        if (open <= 0)
            break;
        --open;
        const auto same = std::find_if(chosen.begin(), chosen.end(), [&](const Displacement &displacement) {
            return displacement.worker == option.displacement.worker;
        });
        if (same == chosen.end())
            chosen.push_back(std::move(option.displacement));
        else if (same->victims.size() < option.displacement.victims.size())
            *same = std::move(option.displacement);
    }
    if (open > 0)
        chosen.clear();
    return chosen;
}

bool isDisplaceable(const Work &work, std::uint32_t displacements)
{
    return work.kind == WorkKind::Batch && work.checkpoint && work.standing >= Standing::Normal
        && displacements < mostDisplacements;
}

} // namespace Pistachio::Placement
