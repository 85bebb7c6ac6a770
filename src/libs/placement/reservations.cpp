#include "placement/reservations.h"

#include "placement/displacement.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{

// Run time estimates are often wrong, so the expected starts are checked at this interval.
constexpr Duration refreshInterval = 10s;
// Workers compared once enough capacity was found; more would give only slightly earlier starts.
constexpr std::size_t maxComparedWorkers = 64;
// Reserved capacity as a multiple of what the unit needs. The ends of tasks are hard to predict. With more workers to
// choose from the unit starts sooner, and about as much capacity stays idle, since it is reserved for a shorter time.
constexpr std::int64_t overProvisionFactor = 4;

/// A time from which more tasks of the unit are expected to fit on a worker.
struct CapacityGain {
    TimePoint time;
    WorkerSlot worker = 0;
    std::int64_t tasks = 0; // further tasks of the unit that fit
};

/// Adds the times at which more tasks of the unit are expected to fit on the worker.
void addCapacityGains(TimePoint now, const Unit &unit, const WorkerEntry &worker, WorkerSlot slot,
                      std::vector<CapacityGain> &gains)
{
    const Resources &need = unit.work->resources;
    const auto taskCount = static_cast<std::int64_t>(unit.tasks.size());
    const std::optional<Duration> delay = displacementDelay(*unit.work);
    const auto effectiveEnd = [&](const PlacedTask &task) {
        const TimePoint end = task.estimatedEnd(now);
        return delay && task.displaceable && mayDisplace(*unit.work, task.standing)
            ? std::min(end, std::max(now, unit.readyAt + *delay))
            : end;
    };
    Resources available = worker.capacity - worker.allocated;
    std::int64_t fitting = fittingTaskCount(need, available, taskCount);
    if (fitting > 0)
        gains.push_back({now, slot, fitting});
    std::vector<const PlacedTask *> ending;
    for (const PlacedTask &task : worker.tasks) {
        if (task.kind != WorkKind::Service || task.stopping)
            ending.push_back(&task);
    }
    std::sort(ending.begin(), ending.end(), [&](const PlacedTask *left, const PlacedTask *right) {
        return effectiveEnd(*left) < effectiveEnd(*right);
    });
    for (const PlacedTask *task : ending) {
        if (fitting >= taskCount)
            return;
        available += task->resources;
        const std::int64_t next = fittingTaskCount(need, available, taskCount);
        if (next > fitting)
            gains.push_back({effectiveEnd(*task), slot, next - fitting});
        fitting = std::max(fitting, next);
    }
}

/// Chooses the workers with the earliest gains.
/// \return when the unit is expected to fit, or nothing when the gains are not enough.
std::optional<TimePoint> chooseWorkers(std::vector<CapacityGain> &gains, std::int64_t taskCount,
                                       std::vector<WorkerSlot> &workers)
{
    std::stable_sort(gains.begin(), gains.end(),
                     [](const CapacityGain &left, const CapacityGain &right) { return left.time < right.time; });
    std::optional<TimePoint> start;
    std::int64_t found = 0;
    for (const CapacityGain &gain : gains) {
        if (found >= taskCount * overProvisionFactor)
            break;
        if (std::find(workers.begin(), workers.end(), gain.worker) == workers.end())
            workers.push_back(gain.worker);
        found += gain.tasks;
        if (!start && found >= taskCount)
            start = gain.time;
    }
    return start;
}

} // namespace

bool Reservations::reserve(TimePoint now, const Unit &unit, const Priority &priority, WorkerIndex &index)
{
    const AcceleratorClass acceleratorClass = acceleratorClassOf(unit.work->resources);
    const auto taskCount = static_cast<std::int64_t>(unit.tasks.size());
    const Resources &need = unit.work->resources;
    std::vector<CapacityGain> gains;
    std::int64_t found = 0;
    std::size_t compared = 0;
    index.visitWithoutBatch(need, [&](WorkerSlot slot) {
        const WorkerEntry &worker = index.at(slot);
        if (worker.reservedFor && worker.reservedFor != acceleratorClass)
            return false;
        addCapacityGains(now, unit, worker, slot, gains);
        found += fittingTaskCount(need, worker.capacity - worker.pinned, taskCount);
        return found >= taskCount * overProvisionFactor && ++compared >= maxComparedWorkers;
    });
    Reservation reservation;
    const std::optional<TimePoint> start = chooseWorkers(gains, taskCount, reservation.workers);
    if (!start)
        return false;
    reservation.holder = unit.id();
    reservation.work = unit.work;
    reservation.priority = priority;
    reservation.start = *start;
    reservation.refreshAt = now + refreshInterval;
    reservation.since = now;
    auto &slot = reservations_[static_cast<std::size_t>(acceleratorClass)];
    drop(slot, index);
    for (const WorkerSlot worker : reservation.workers)
        index.setReserved(worker, acceleratorClass);
    slot = std::move(reservation);
    return true;
}

bool Reservations::refresh(TimePoint now, WorkerIndex &index)
{
    bool dropped = false;
    for (std::optional<Reservation> &reservation : reservations_) {
        if (!reservation)
            continue;
        const bool allAccepting = std::all_of(reservation->workers.begin(), reservation->workers.end(),
                                              [&](WorkerSlot slot) { return index.at(slot).accepting; });
        if (allAccepting && now < reservation->refreshAt)
            continue;
        if (allAccepting && now < reservation->start) {
            reservation->refreshAt = now + refreshInterval;
            continue;
        }
        if (allAccepting) {
            // Tasks there run longer than estimated. The same workers stay reserved, or the wait would start again, and
            // no more work is backfilled, or the wait would not end.
            reservation->start = now;
            reservation->refreshAt = now + refreshInterval;
            continue;
        }
        // The planner makes a new reservation for the holder, possibly on other workers, with new estimates.
        drop(reservation, index);
        dropped = true;
    }
    return dropped;
}

void Reservations::expectStartNow(TimePoint now, AcceleratorClass acceleratorClass)
{
    auto &reservation = reservations_[static_cast<std::size_t>(acceleratorClass)];
    if (reservation)
        reservation->start = std::min(reservation->start, now);
}

bool Reservations::release(const TaskId &holder, WorkerIndex &index)
{
    for (std::optional<Reservation> &reservation : reservations_) {
        if (reservation && reservation->holder == holder) {
            drop(reservation, index);
            return true;
        }
    }
    return false;
}

bool Reservations::isHolder(const Unit &unit) const
{
    const auto &reservation = of(acceleratorClassOf(unit.work->resources));
    return reservation && reservation->holder == unit.id();
}

bool Reservations::allows(TimePoint now, const Unit &unit, const Priority &priority, const WorkerEntry &worker) const
{
    if (!worker.reservedFor)
        return true;
    const std::optional<Reservation> &reservation = of(*worker.reservedFor);
    if (!reservation || priority <= reservation->priority)
        return true;
    if (unit.work->kind == WorkKind::Service)
        return false;
    if (now + unit.work->estimatedRun <= reservation->start)
        return true;
    // Work that the holder can displace does not delay it, and the resources would be idle until then.
    return isDisplaceable(*unit.work, unit.displacements) && mayDisplace(*reservation->work, unit.work->standing)
        && displacementDelay(*reservation->work);
}

void Reservations::drop(std::optional<Reservation> &reservation, WorkerIndex &index)
{
    if (!reservation)
        return;
    for (const WorkerSlot worker : reservation->workers)
        index.setReserved(worker, std::nullopt);
    reservation.reset();
}

} // namespace Pistachio::Placement
