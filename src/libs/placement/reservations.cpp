#include "placement/reservations.h"

#include "placement/displacement.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{

// Estimates are often wrong; they are made again this often.
constexpr Duration refreshInterval = 10s;
// Workers compared for one task of a job; more would find only slightly earlier starts.
constexpr std::size_t comparedWorkers = 64;
// Reserved room as a multiple of what the unit needs. Ends are hard to foresee; with more workers to choose from the
// unit starts sooner, and the room that is kept idle meanwhile is about the same, since it is kept for a shorter time.
constexpr std::int64_t overProvision = 4;

struct Opening {
    TimePoint at;
    WorkerSlot worker = 0;
    std::int64_t tasks = 0; // more tasks of the unit than before
};

/// Adds when the worker is expected to have room for one more task, two more, and so on.
void addOpenings(TimePoint now, const Unit &unit, const WorkerEntry &worker, WorkerSlot slot,
                 std::vector<Opening> &openings)
{
    const Resources &need = unit.work->resources;
    const auto wanted = static_cast<std::int64_t>(unit.tasks.size());
    const std::optional<Duration> wait = waitBeforeDisplacing(*unit.work);
    const auto endOf = [&](const PlacedTask &task) {
        const TimePoint end = task.estimatedEnd(now);
        return wait && task.displaceable && mayDisplace(*unit.work, task.standing)
            ? std::min(end, std::max(now, unit.readyAt + *wait))
            : end;
    };
    Resources room = worker.capacity - worker.allocated;
    std::int64_t count = countThatFits(need, room, wanted);
    if (count > 0)
        openings.push_back({now, slot, count});
    std::vector<const PlacedTask *> ending;
    for (const PlacedTask &task : worker.tasks) {
        if (task.kind != WorkKind::Service || task.stopping)
            ending.push_back(&task);
    }
    std::sort(ending.begin(), ending.end(),
              [&](const PlacedTask *left, const PlacedTask *right) { return endOf(*left) < endOf(*right); });
    for (const PlacedTask *task : ending) {
        if (count >= wanted)
            return;
        room += task->resources;
        const std::int64_t next = countThatFits(need, room, wanted);
        if (next > count)
            openings.push_back({endOf(*task), slot, next - count});
        count = std::max(count, next);
    }
}

/// Chooses the workers with the first openings.
/// \return when the unit is expected to fit.
std::optional<TimePoint> chooseWorkers(std::vector<Opening> &openings, std::int64_t wanted,
                                       std::vector<WorkerSlot> &workers)
{
    std::stable_sort(openings.begin(), openings.end(),
                     [](const Opening &left, const Opening &right) { return left.at < right.at; });
    std::optional<TimePoint> start;
    std::int64_t found = 0;
    for (const Opening &opening : openings) {
        if (found >= wanted * overProvision)
            break;
        if (std::find(workers.begin(), workers.end(), opening.worker) == workers.end())
            workers.push_back(opening.worker);
        found += opening.tasks;
        if (!start && found >= wanted)
            start = opening.at;
    }
    return start;
}

} // namespace

bool Reservations::reserve(TimePoint now, const Unit &unit, const Priority &priority, WorkerIndex &index)
{
    const AcceleratorClass acceleratorClass = acceleratorClassOf(unit.work->resources);
    const auto wanted = static_cast<std::int64_t>(unit.tasks.size());
    const Resources &need = unit.work->resources;
    std::vector<Opening> openings;
    std::int64_t found = 0;
    std::size_t compared = 0;
    index.visitWithoutBatch(need, [&](WorkerSlot slot) {
        const WorkerEntry &worker = index.at(slot);
        if (worker.reservedFor && worker.reservedFor != acceleratorClass)
            return false;
        addOpenings(now, unit, worker, slot, openings);
        found += countThatFits(need, worker.capacity - worker.pinned, wanted);
        return found >= wanted * overProvision && ++compared >= comparedWorkers;
    });
    Reservation reservation;
    const std::optional<TimePoint> start = chooseWorkers(openings, wanted, reservation.workers);
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
        const bool whole = std::all_of(reservation->workers.begin(), reservation->workers.end(),
                                       [&](WorkerSlot slot) { return index.at(slot).accepting; });
        // After a refresh the holder reserves anew, possibly elsewhere, with estimates of that time.
        if (whole && now < reservation->refreshAt)
            continue;
        if (whole && now < reservation->start) {
            reservation->refreshAt = now + refreshInterval;
            continue;
        }
        if (whole) {
            // The work there outlived its estimate. The same workers stay reserved, or the wait would start again, and
            // nothing more may be added, or it would not end.
            reservation->start = now;
            reservation->refreshAt = now + refreshInterval;
            continue;
        }
        drop(reservation, index);
        dropped = true;
    }
    return dropped;
}

void Reservations::startNow(TimePoint now, AcceleratorClass acceleratorClass)
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
    // Work that stops when the holder can start costs it nothing, and the room would be idle until then.
    return isDisplaceable(*unit.work, unit.displacements) && mayDisplace(*reservation->work, unit.work->standing)
        && waitBeforeDisplacing(*reservation->work);
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
