#include "placement/planner.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{

// A gang needs resources on several workers, and no single event shows that all of them are free, so it is retried.
constexpr Duration gangRetryInterval = 1s;
// Limits how often a failed search for a reservation is repeated.
constexpr Duration reservationRetryInterval = 5s;
// Time for victims to stop before a displacement is given up; longer than the grace periods of batch work.
constexpr Duration holdTimeout = 2min;
// A task that needs a quarter of the largest worker or more is large: several usual tasks must end before it fits.
constexpr std::int64_t largeTaskDivisor = 4;

} // namespace

Planner::Planner(std::function<std::uint32_t(const TaskId &)> displacements)
    : displacementCount_(std::move(displacements))
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
    unit.displacements = displacementCount_(unit.id());
    queue_.add(std::move(unit), packingPercent_);
}

bool Planner::withdraw(const TaskId &id)
{
    const auto held = heldUnits_.find(id);
    if (held != heldUnits_.end()) {
        workers_.releaseHeld(held->second.worker, held->second.unit.total());
        heldUnits_.erase(held);
        return true;
    }
    if (!queue_.remove(id))
        return false;
    reservationsDue_ |= reservations_.release(id, workers_);
    return true;
}

std::optional<std::string> Planner::waitingFor(const TaskId &id) const
{
    const auto held = heldUnits_.find(id);
    if (held != heldUnits_.end())
        return "waiting for displaced tasks to stop on worker " + workers_.at(held->second.worker).id.value();
    const auto reason = queue_.waitReason(id);
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
    return "waiting in the queue";
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
    queue_.unblockTeam(work.team, quotas_);
}

void Planner::workerUnavailable(WorkerSlot slot)
{
    for (auto held = heldUnits_.begin(); held != heldUnits_.end();) {
        if (held->second.worker != slot) {
            ++held;
            continue;
        }
        workers_.releaseHeld(slot, held->second.unit.total());
        queue_.add(std::move(held->second.unit), packingPercent_);
        held = heldUnits_.erase(held);
    }
}

std::vector<PlannedStep> Planner::plan(TimePoint now, std::size_t limit)
{
    std::vector<PlannedStep> steps;
    if (reservations_.refresh(now, workers_))
        reservationsDue_ = true;
    processTimeouts(now);
    // A placement can make resources available too: to work that may displace the new task, or the share of
    // accelerators that are in use now.
    do {
        handleFreedWorkers(now, steps);
        placeReadyUnits(now, limit, steps);
    } while (workers_.hasFreedWorkers() && steps.size() < limit);
    if (reservationsDue_ && now >= nextReservationAttempt_)
        reserveForLargeUnits(now, steps);
    return steps;
}

void Planner::handleFreedWorkers(TimePoint now, std::vector<PlannedStep> &steps)
{
    if (!workers_.hasFreedWorkers())
        return;
    assignHeldUnits(now, steps);
    const std::vector<WorkerSlot> freed = workers_.takeFreedWorkers();
    queue_.unblockFitting(freed, workers_);
    unblockReservationHolders(freed);
}

void Planner::placeReadyUnits(TimePoint now, std::size_t limit, std::vector<PlannedStep> &steps)
{
    while (steps.size() < limit) {
        WaitQueue::Shape *shape = queue_.first();
        if (shape == nullptr)
            return;
        const Priority priority = shape->units.begin()->first;
        const Unit &head = shape->units.begin()->second;
        if (!quotas_.allows(head.work->team, head.total())) {
            reservationsDue_ |= reservations_.release(head.id(), workers_);
            queue_.blockForQuota(*shape);
            continue;
        }
        ++attempts_;
        if (tryPlace(now, head, priority, steps) || tryDisplace(now, head, priority, steps))
            continue;
        blockShape(now, *shape);
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
    allocate(now, step.unit, step.workers);
    reservationsDue_ |= reservations_.release(id, workers_);
    steps.push_back(std::move(step));
    return true;
}

bool Planner::tryDisplace(TimePoint now, const Unit &unit, const Priority &priority, std::vector<PlannedStep> &steps)
{
    const std::optional<Duration> delay = displacementDelay(*unit.work);
    if (!delay || now < unit.readyAt + *delay)
        return false;
    if (unit.work->kind == WorkKind::Gang) {
        displaceForGang(now, unit, steps);
        return false; // it starts once the victims have stopped
    }
    const auto found = findDisplacement(unit, priority, now, workers_, reservations_);
    if (!found)
        return false;
    const TaskId id = unit.id();
    const std::string_view policy = policyFor(unit.work->kind).name();
    Unit removed = *queue_.remove(id);
    reservationsDue_ |= reservations_.release(id, workers_);
    for (const TaskId &victim : found->victims) {
        workers_.setStopping(found->worker, victim);
        steps.push_back({PlannedStep::Kind::Displace, removed, {found->worker}, victim, policy, 0, found->candidates});
    }
    workers_.holdResources(found->worker, removed.total());
    heldUnits_.emplace(id, HeldUnit{std::move(removed), found->worker, now + holdTimeout});
    return true;
}

void Planner::displaceForGang(TimePoint now, const Unit &unit, std::vector<PlannedStep> &steps)
{
    // Only a gang with a reservation displaces, so that other work can't use the freed resources before all of them are
    // available.
    const AcceleratorClass acceleratorClass = acceleratorClassOf(unit.work->resources);
    const auto &reservation = reservations_.of(acceleratorClass);
    if (!reservation || reservation->holder != unit.id())
        return;
    const std::vector<Displacement> found = findGangDisplacements(unit, reservation->workers, workers_);
    if (found.empty())
        return;
    reservations_.expectStartNow(now, acceleratorClass);
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

void Planner::assignHeldUnits(TimePoint now, std::vector<PlannedStep> &steps)
{
    for (auto held = heldUnits_.begin(); held != heldUnits_.end();) {
        const WorkerSlot slot = held->second.worker;
        const WorkerEntry &worker = workers_.at(slot);
        const Unit &unit = held->second.unit;
        const bool fits = worker.accepting && unit.work->resources.fitsIn(worker.capacity - worker.allocated);
        if (!fits || !quotas_.allows(unit.work->team, unit.total())) {
            ++held;
            continue;
        }
        workers_.releaseHeld(slot, unit.total());
        allocate(now, unit, {slot});
        const std::string_view policy = policyFor(unit.work->kind).name();
        steps.push_back({PlannedStep::Kind::Assign, std::move(held->second.unit), {slot}, {}, policy, 0, 1});
        held = heldUnits_.erase(held);
    }
}

void Planner::processTimeouts(TimePoint now)
{
    while (!retryTimes_.empty() && retryTimes_.begin()->first <= now) {
        queue_.unblock(retryTimes_.begin()->second);
        retryTimes_.erase(retryTimes_.begin());
    }
    for (auto held = heldUnits_.begin(); held != heldUnits_.end();) {
        if (now < held->second.deadline) {
            ++held;
            continue;
        }
        workers_.releaseHeld(held->second.worker, held->second.unit.total());
        queue_.add(std::move(held->second.unit), packingPercent_);
        held = heldUnits_.erase(held);
    }
}

void Planner::unblockReservationHolders(const std::vector<WorkerSlot> &freed)
{
    std::array<bool, acceleratorClassCount> unblocked{};
    for (const WorkerSlot slot : freed) {
        const auto reservedFor = workers_.at(slot).reservedFor;
        if (!reservedFor || std::exchange(unblocked.at(static_cast<std::size_t>(*reservedFor)), true))
            continue;
        if (const auto &reservation = reservations_.of(*reservedFor))
            queue_.unblockShapeOf(reservation->holder);
    }
}

void Planner::blockShape(TimePoint now, WaitQueue::Shape &shape)
{
    const Unit &head = shape.units.begin()->second;
    if (isLarge(head))
        reservationsDue_ = true;
    const std::optional<Duration> delay = displacementDelay(*head.work);
    if (head.work->kind == WorkKind::Gang)
        retryTimes_.emplace(now + gangRetryInterval, shape.key);
    else if (delay && now < head.readyAt + *delay)
        retryTimes_.emplace(head.readyAt + *delay, shape.key);
    queue_.block(shape);
}

void Planner::reserveForLargeUnits(TimePoint now, std::vector<PlannedStep> &steps)
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
            nextReservationAttempt_ = now + reservationRetryInterval;
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

void Planner::allocate(TimePoint now, const Unit &unit, const std::vector<WorkerSlot> &workers)
{
    for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
        const TaskId task{unit.work->booking, unit.tasks[i]};
        adopt(workers[i], *unit.work, task, displacementCount_(task), now);
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
    return need.milliCores * largeTaskDivisor >= largest.milliCores
        || need.memoryBytes * largeTaskDivisor >= largest.memoryBytes
        || (need.accelerators > 0 && need.accelerators * largeTaskDivisor >= largest.accelerators);
}

std::string Planner::unschedulableReason(const Work &work, std::size_t count) const
{
    const auto taskCount = static_cast<std::int64_t>(count);
    std::int64_t found = 0;
    workers_.visitCapacity(work.resources, [&](WorkerSlot slot) {
        found += fittingTaskCount(work.resources, workers_.at(slot).capacity, taskCount - found);
        return found >= taskCount;
    });
    if (found >= taskCount)
        return {};
    if (found > 0)
        return "the workers have capacity for " + std::to_string(found) + " of " + std::to_string(count)
            + " tasks at the same time";
    // Names the resource of which no worker has enough.
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
