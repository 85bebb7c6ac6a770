#include "placement/planner.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{

// Gangs need room on several workers, which no single event tells; they are tried this often.
constexpr Duration gangRetryInterval = 1s;
// A failed search for a reservation is not repeated sooner.
constexpr Duration reservationRetryInterval = 5s;
// Room that was not made in this time is given up: longer than the grace periods of batch work.
constexpr Duration holdLimit = 2min;
// A single task is large from a quarter of the largest worker on: several usual tasks have to end before it fits.
constexpr std::int64_t largeShare = 4;

} // namespace

Planner::Planner(std::function<std::uint32_t(const TaskId &)> displacements)
    : displacements_(std::move(displacements))
    , policies_{makeServicePolicy(), makeBatchPolicy(), makeGangPolicy()}
{
}

void Planner::setQuotas(std::unordered_map<TeamId, Resources> limits)
{
    quotas_.setLimits(std::move(limits));
    queue_.quotasChanged(quotas_);
}

void Planner::enqueue(Unit unit)
{
    unit.displacements = displacements_(unit.id());
    queue_.add(std::move(unit), packingPercent_);
}

bool Planner::withdraw(const TaskId &id)
{
    const auto hold = holds_.find(id);
    if (hold != holds_.end()) {
        workers_.releaseHeld(hold->second.worker, hold->second.unit.total());
        holds_.erase(hold);
        return true;
    }
    if (!queue_.remove(id))
        return false;
    reservationsDue_ |= reservations_.release(id, workers_);
    return true;
}

std::optional<std::string> Planner::waitingFor(const TaskId &id) const
{
    const auto hold = holds_.find(id);
    if (hold != holds_.end())
        return "room is being made on worker " + workers_.at(hold->second.worker).id.value();
    const auto reason = queue_.reasonFor(id);
    if (!reason)
        return std::nullopt;
    switch (*reason) {
    case WaitReason::Quota:
        return "the quota of its team is used up";
    case WaitReason::Capacity:
        for (const AcceleratorClass acceleratorClass : {AcceleratorClass::Without, AcceleratorClass::With}) {
            const auto &reservation = reservations_.of(acceleratorClass);
            if (reservation && reservation->holder == id)
                return std::to_string(reservation->workers.size()) + " workers are reserved for it";
        }
        return "no worker has enough free resources";
    case WaitReason::Queued:
        break;
    }
    return "its turn";
}

void Planner::adopt(WorkerSlot slot, const Work &work, const TaskId &task, std::uint32_t displacements,
                    TimePoint startedAt)
{
    workers_.place(slot,
                   {task, work.resources, work.kind, work.standing, isDisplaceable(work, displacements), false,
                    startedAt, work.estimatedRun});
    quotas_.charge(work.team, work.resources);
}

void Planner::release(WorkerSlot slot, const Work &work, const TaskId &task)
{
    if (!workers_.release(slot, task))
        return;
    quotas_.refund(work.team, work.resources);
    queue_.teamUsesLess(work.team, quotas_);
}

void Planner::workerUnavailable(WorkerSlot slot)
{
    for (auto hold = holds_.begin(); hold != holds_.end();) {
        if (hold->second.worker != slot) {
            ++hold;
            continue;
        }
        workers_.releaseHeld(slot, hold->second.unit.total());
        queue_.add(std::move(hold->second.unit), packingPercent_);
        hold = holds_.erase(hold);
    }
}

std::vector<PlannedStep> Planner::plan(TimePoint now, std::size_t limit)
{
    std::vector<PlannedStep> steps;
    if (reservations_.refresh(now, workers_))
        reservationsDue_ = true;
    wakeByTime(now);
    // Placing work can make room too: for work that may displace it, or beside accelerators that are taken now.
    do {
        wakeGrown(now, steps);
        placeReady(now, limit, steps);
    } while (workers_.hasGrown() && steps.size() < limit);
    if (reservationsDue_ && now >= nextReservation_)
        reserveForOldest(now, steps);
    return steps;
}

void Planner::wakeGrown(TimePoint now, std::vector<PlannedStep> &steps)
{
    if (!workers_.hasGrown())
        return;
    serveHolds(now, steps);
    const std::vector<WorkerSlot> grown = workers_.takeGrown();
    queue_.wakeFitting(grown, workers_);
    wakeHolders(grown);
}

void Planner::placeReady(TimePoint now, std::size_t limit, std::vector<PlannedStep> &steps)
{
    while (steps.size() < limit) {
        WaitQueue::Shape *shape = queue_.first();
        if (shape == nullptr)
            return;
        const Priority priority = shape->units.begin()->first;
        const Unit &head = shape->units.begin()->second;
        if (!quotas_.allows(head.work->team, head.total())) {
            reservationsDue_ |= reservations_.release(head.id(), workers_);
            queue_.parkForQuota(*shape);
            continue;
        }
        ++attempts_;
        if (tryPlace(now, head, priority, steps) || tryDisplace(now, head, priority, steps))
            continue;
        blockHead(now, *shape);
    }
}

bool Planner::tryPlace(TimePoint now, const Unit &unit, const Priority &priority, std::vector<PlannedStep> &steps)
{
    const PlacementPolicy &policy = policyFor(unit.work->kind);
    const std::optional<Choice> choice = policy.choose(unit, priority, {now, workers_, reservations_, packingPercent_});
    if (!choice)
        return false;
    const TaskId id = unit.id();
    PlannedStep step{PlannedStep::Kind::Assign, {}, choice->workers, {}, policy.name(), choice->score,
                     choice->candidates};
    step.unit = *queue_.remove(id);
    commit(now, step.unit, step.workers);
    reservationsDue_ |= reservations_.release(id, workers_);
    steps.push_back(std::move(step));
    return true;
}

bool Planner::tryDisplace(TimePoint now, const Unit &unit, const Priority &priority, std::vector<PlannedStep> &steps)
{
    const std::optional<Duration> wait = waitBeforeDisplacing(*unit.work);
    if (!wait || now < unit.readyAt + *wait)
        return false;
    if (unit.work->kind == WorkKind::Gang) {
        displaceForGang(now, unit, steps);
        return false; // it starts once the room is there
    }
    const auto found = findDisplacement(unit, priority, now, workers_, reservations_);
    if (!found)
        return false;
    const TaskId id = unit.id();
    const std::string_view policy = policyFor(unit.work->kind).name();
    Unit taken = *queue_.remove(id);
    reservationsDue_ |= reservations_.release(id, workers_);
    for (const TaskId &victim : found->victims) {
        workers_.setStopping(found->worker, victim);
        steps.push_back({PlannedStep::Kind::Displace, taken, {found->worker}, victim, policy, 0, found->candidates});
    }
    workers_.holdResources(found->worker, taken.total());
    holds_.emplace(id, Hold{std::move(taken), found->worker, now + holdLimit});
    return true;
}

void Planner::displaceForGang(TimePoint now, const Unit &unit, std::vector<PlannedStep> &steps)
{
    // Only the holder of a reservation displaces: no other work can take the room before all of it is there.
    const AcceleratorClass acceleratorClass = acceleratorClassOf(unit.work->resources);
    const auto &reservation = reservations_.of(acceleratorClass);
    if (!reservation || reservation->holder != unit.id())
        return;
    const std::vector<Displacement> found = findDisplacementsFor(unit, reservation->workers, workers_);
    if (found.empty())
        return;
    reservations_.startNow(now, acceleratorClass);
    for (const Displacement &displacement : found) {
        for (const TaskId &victim : displacement.victims) {
            workers_.setStopping(displacement.worker, victim);
            steps.push_back({PlannedStep::Kind::Displace,
                             unit,
                             {displacement.worker},
                             victim,
                             policyFor(WorkKind::Gang).name(),
                             0,
                             static_cast<std::uint32_t>(reservation->workers.size())});
        }
    }
}

void Planner::serveHolds(TimePoint now, std::vector<PlannedStep> &steps)
{
    for (auto hold = holds_.begin(); hold != holds_.end();) {
        const WorkerSlot slot = hold->second.worker;
        const WorkerEntry &worker = workers_.at(slot);
        const Unit &unit = hold->second.unit;
        const bool fits = worker.accepting && unit.work->resources.fitsIn(worker.capacity - worker.allocated);
        if (!fits || !quotas_.allows(unit.work->team, unit.total())) {
            ++hold;
            continue;
        }
        workers_.releaseHeld(slot, unit.total());
        commit(now, unit, {slot});
        const std::string_view policy = policyFor(unit.work->kind).name();
        steps.push_back({PlannedStep::Kind::Assign, std::move(hold->second.unit), {slot}, {}, policy, 0, 1});
        hold = holds_.erase(hold);
    }
}

void Planner::wakeByTime(TimePoint now)
{
    while (!wakeAt_.empty() && wakeAt_.begin()->first <= now) {
        queue_.wake(wakeAt_.begin()->second);
        wakeAt_.erase(wakeAt_.begin());
    }
    for (auto hold = holds_.begin(); hold != holds_.end();) {
        if (now < hold->second.deadline) {
            ++hold;
            continue;
        }
        workers_.releaseHeld(hold->second.worker, hold->second.unit.total());
        queue_.add(std::move(hold->second.unit), packingPercent_);
        hold = holds_.erase(hold);
    }
}

void Planner::wakeHolders(const std::vector<WorkerSlot> &grown)
{
    std::array<bool, acceleratorClassCount> woken{};
    for (const WorkerSlot slot : grown) {
        const auto reservedFor = workers_.at(slot).reservedFor;
        if (!reservedFor || std::exchange(woken.at(static_cast<std::size_t>(*reservedFor)), true))
            continue;
        if (const auto &reservation = reservations_.of(*reservedFor))
            queue_.wakeShapeOf(reservation->holder);
    }
}

void Planner::blockHead(TimePoint now, WaitQueue::Shape &shape)
{
    const Unit &head = shape.units.begin()->second;
    if (isLarge(head))
        reservationsDue_ = true;
    const std::optional<Duration> wait = waitBeforeDisplacing(*head.work);
    if (head.work->kind == WorkKind::Gang)
        wakeAt_.emplace(now + gangRetryInterval, shape.key);
    else if (wait && now < head.readyAt + *wait)
        wakeAt_.emplace(head.readyAt + *wait, shape.key);
    queue_.block(shape);
}

void Planner::reserveForOldest(TimePoint now, std::vector<PlannedStep> &steps)
{
    reservationsDue_ = false;
    std::vector<std::pair<Priority, const Unit *>> large;
    for (const WaitQueue::Shape *shape : queue_.blockedShapes()) {
        const auto &[priority, unit] = *shape->units.begin();
        if (isLarge(unit) && !reservations_.of(acceleratorClassOf(unit.work->resources)))
            large.emplace_back(priority, &unit);
    }
    std::sort(large.begin(), large.end());
    for (const auto &[priority, unit] : large) {
        const AcceleratorClass acceleratorClass = acceleratorClassOf(unit->work->resources);
        if (reservations_.of(acceleratorClass))
            continue;
        if (!reservations_.reserve(now, *unit, priority, workers_)) {
            reservationsDue_ = true;
            nextReservation_ = now + reservationRetryInterval;
            continue;
        }
        steps.push_back({PlannedStep::Kind::Reserve,
                         *unit,
                         reservations_.of(acceleratorClass)->workers,
                         {},
                         policyFor(unit->work->kind).name(),
                         0,
                         0});
    }
}

void Planner::commit(TimePoint now, const Unit &unit, const std::vector<WorkerSlot> &workers)
{
    for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
        const TaskId task{unit.work->booking, unit.tasks[i]};
        adopt(workers[i], *unit.work, task, displacements_(task), now);
    }
}

bool Planner::isLarge(const Unit &unit) const
{
    if (unit.work->kind == WorkKind::Gang)
        return true;
    Resources largest;
    std::size_t seen = 0;
    workers_.visitCapacity(unit.work->resources, [&](WorkerSlot slot) {
        const Resources &capacity = workers_.at(slot).capacity;
        largest
            = {std::max(largest.milliCores, capacity.milliCores), std::max(largest.memoryBytes, capacity.memoryBytes),
               std::max(largest.accelerators, capacity.accelerators)};
        return ++seen >= 4;
    });
    const Resources &need = unit.work->resources;
    return need.milliCores * largeShare >= largest.milliCores || need.memoryBytes * largeShare >= largest.memoryBytes
        || (need.accelerators > 0 && need.accelerators * largeShare >= largest.accelerators);
}

std::string Planner::unschedulableReason(const Work &work, std::size_t count) const
{
    const auto most = static_cast<std::int64_t>(count);
    std::int64_t found = 0;
    workers_.visitCapacity(work.resources, [&](WorkerSlot slot) {
        found += countThatFits(work.resources, workers_.at(slot).capacity, most - found);
        return found >= most;
    });
    if (found >= most)
        return {};
    if (found > 0)
        return "the workers can hold " + std::to_string(found) + " of " + std::to_string(count) + " tasks at a time";
    // Names the kind that even the worker with the most of it lacks.
    Resources largest;
    for (WorkerSlot slot = 0; slot < workers_.size(); ++slot) {
        const WorkerEntry &worker = workers_.at(slot);
        if (!worker.known)
            continue;
        largest = {std::max(largest.milliCores, worker.capacity.milliCores),
                   std::max(largest.memoryBytes, worker.capacity.memoryBytes),
                   std::max(largest.accelerators, worker.capacity.accelerators)};
    }
    const std::string_view missing = work.resources.missingFrom(largest);
    return missing.empty() ? "no worker has this combination of resources"
                           : "no worker has enough " + std::string(missing);
}

const PlacementPolicy &Planner::policyFor(WorkKind kind) const
{
    return *policies_.at(static_cast<std::size_t>(kind));
}

} // namespace Pistachio::Placement
