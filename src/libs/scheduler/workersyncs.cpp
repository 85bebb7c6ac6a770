#include "scheduler/zoneschedulerprivate.h"
#include "wire/convert.h"
#include "zonestate/zonestate.h"

#include <algorithm>

namespace Pistachio::Scheduler
{

namespace
{
// Usage reports are delayed, so a task is stopped only after it has exceeded its declared memory for this long although
// it is throttled.
constexpr Duration aboveMemoryTimeout = 10s;
constexpr std::uint32_t throttledPercent = 50;
// The measured memory includes pages that are shared or about to be freed.
constexpr double memoryTolerance = 1.05;
} // namespace

void ZoneScheduler::Private::workerSync(const EventContext &now, const Wire::WorkerSync &sync)
{
    if (sync.worker().empty() || sync.boot_id().empty())
        return;
    const Slot slot = planner_->workers().slotOf(WorkerId(sync.worker()));
    const LeaseTable::SyncResult result
        = leases_.syncReceived(now.time, slot, sync.boot_id(), sync.sequence(), sync.epoch_seen(), sync.full());
    switch (result) {
    case LeaseTable::SyncResult::Ignored:
        return;
    case LeaseTable::SyncResult::Unconfirmed:
        worker(slot).sendFull = true;
        return;
    case LeaseTable::SyncResult::Restarted:
        for (const TaskId &id : worker(slot).tasks) {
            TaskEntry *entry = find(id);
            if (entry != nullptr && entry->delivery != Delivery::NotSent)
                proposeEnd(now, id, *entry, Wire::TASK_END_LOST, "the worker restarted");
        }
        handleReport(now, slot, sync);
        return;
    case LeaseTable::SyncResult::Accepted:
        handleReport(now, slot, sync);
        return;
    }
}

void ZoneScheduler::Private::handleReport(const EventContext &now, Slot slot, const Wire::WorkerSync &sync)
{
    Placement::WorkerIndex &index = planner_->workers();
    worker(slot).leaving = sync.leaving();
    if (sync.full()) {
        index.setRack(slot, sync.rack());
        index.setCapacity(slot, Wire::toCore(sync.capacity()));
    }
    updateAccepting(now, slot);
    std::set<TaskId> reported;
    bool usage = false;
    for (const Wire::TaskStatus &status : sync.tasks()) {
        if (sync.full())
            reported.insert(Wire::toCore(status.task()));
        usage = usage || status.has_usage();
        taskReported(now, slot, status, sync.full());
    }
    if (usage)
        updateMemoryPressure(slot);
    if (sync.full()) {
        handleMissingTasks(now, slot, reported);
        stopTasksAboveCapacity(now, slot);
    }
    moveTasksAway(now, slot);
    const Worker &reporter = worker(slot);
    const bool orders = !reporter.endAcknowledgements.empty() || !reporter.stopOrders.empty()
        || std::any_of(reporter.tasks.begin(), reporter.tasks.end(), [this](const TaskId &id) {
               const TaskEntry *entry = find(id);
               return entry != nullptr && needsOrder(id, *entry);
           });
    if (orders)
        leases_.answerSoon(now.time, slot);
}

void ZoneScheduler::Private::taskReported(const EventContext &now, Slot slot, const Wire::TaskStatus &status, bool full)
{
    const TaskId id = Wire::toCore(status.task());
    Worker &reporter = worker(slot);
    TaskEntry *entry = find(id);
    const bool current = entry != nullptr && entry->phase == TaskPhase::Assigned && entry->slot == slot
        && entry->incarnation == status.incarnation();
    if (current && !entry->endProposed) {
        liveTaskReported(now, id, *entry, status, full);
        return;
    }
    if (current)
        return; // its end is being committed, then the worker is told
    if (status.state() == Wire::TASK_STATE_ENDED) {
        Wire::EndRecorded &acknowledgement = reporter.endAcknowledgements.emplace_back();
        *acknowledgement.mutable_task() = status.task();
        acknowledgement.set_incarnation(status.incarnation());
        return;
    }
    // The zone state has no such assignment, so the task must not run.
    Wire::StopTask &stopOrder = reporter.stopOrders.emplace_back();
    *stopOrder.mutable_task() = status.task();
    stopOrder.set_incarnation(status.incarnation());
}

void ZoneScheduler::Private::liveTaskReported(const EventContext &now, const TaskId &id, TaskEntry &entry,
                                              const Wire::TaskStatus &status, bool full)
{
    entry.delivery = Delivery::Sent;
    BookingEntry &booking = bookings_.at(id.booking);
    if (status.state() == Wire::TASK_STATE_ENDED) {
        Wire::TaskEndReason reason = status.end_reason();
        std::string detail = status.detail();
        if (entry.stopCause == StopCause::MemoryExceeded) {
            reason = Wire::TASK_END_FAILED;
            detail = "used " + Resources{0, entry.usage.peak().memoryBytes, 0}.toString() + ", declared "
                + entry.work->resources.toString();
        } else if (reason == Wire::TASK_END_COMPLETED && entry.work->kind == Placement::WorkKind::Service) {
            reason = Wire::TASK_END_FAILED;
            detail = "the service ended before its booked end";
        }
        if (entry.stopCause != StopCause::None && entry.stopCause != StopCause::MemoryExceeded
            && (reason == Wire::TASK_END_FAILED || reason == Wire::TASK_END_UNSPECIFIED))
            reason = Wire::TASK_END_STOPPED; // some programs exit with an error when they are told to stop
        proposeEnd(now, id, entry, reason, std::move(detail));
        return;
    }
    entry.prepared = entry.prepared || status.state() == Wire::TASK_STATE_PREPARED;
    if (status.state() == Wire::TASK_STATE_RUNNING && !std::exchange(entry.running, true))
        entry.runningSince = now.time;
    if (full) {
        // The worker sends a full report if it may have missed an answer, so its orders are sent again.
        entry.stopSent = false;
        entry.throttleSent = false;
        if (!entry.running)
            entry.startSent = false;
    }
    if (status.has_usage())
        usageReported(now, id, entry, Wire::toCore(status.usage()));
    if (entry.prepared && !entry.running)
        startGangIfPrepared(now, booking);
}

void ZoneScheduler::Private::usageReported(const EventContext &now, const TaskId &id, TaskEntry &entry,
                                           const Resources &usage)
{
    entry.usage.recordUsage(now.time, usage);
    const double allowed = static_cast<double>(entry.work->resources.memoryBytes) * memoryTolerance;
    if (static_cast<double>(usage.memoryBytes) <= allowed || entry.stopCause != StopCause::None) {
        entry.aboveMemorySince.reset();
        return;
    }
    if (entry.aboveMemorySince)
        return;
    entry.aboveMemorySince = now.time;
    memoryDeadlines_.emplace(now.time + aboveMemoryTimeout, id);
    entry.throttlePercent = throttledPercent;
    entry.throttleSent = false;
    recordDecision("throttle", id, &entry, "uses more memory than declared");
    leases_.answerSoon(now.time, entry.slot);
}

void ZoneScheduler::Private::stopTasksAboveMemory(const EventContext &now)
{
    while (!memoryDeadlines_.empty() && memoryDeadlines_.begin()->first <= now.time) {
        const TaskId id = memoryDeadlines_.begin()->second;
        memoryDeadlines_.erase(memoryDeadlines_.begin());
        TaskEntry *entry = find(id);
        // Workers report usage only when it changes, so the last report is current.
        const bool above = entry != nullptr && entry->phase == TaskPhase::Assigned && entry->aboveMemorySince
            && now.time - *entry->aboveMemorySince >= aboveMemoryTimeout;
        if (!above)
            continue;
        recordDecision("stop", id, entry, "uses more memory than declared in spite of throttling");
        stop(now, id, *entry, StopCause::MemoryExceeded, bookings_.at(id.booking).spec.grace);
    }
}

void ZoneScheduler::Private::handleMissingTasks(const EventContext &now, Slot slot, const std::set<TaskId> &reported)
{
    const std::set<TaskId> tasks = worker(slot).tasks;
    for (const TaskId &id : tasks) {
        TaskEntry *entry = find(id);
        if (entry == nullptr || reported.contains(id) || entry->endProposed)
            continue;
        const ZoneState::TaskAssignment *assignment = state_.tasks().assignment(id);
        // A gang is started only after its tasks were reported as prepared, so the worker has lost this one since.
        if (assignment != nullptr && assignment->gang && assignment->started) {
            proposeEnd(now, id, *entry, Wire::TASK_END_LOST, "the worker no longer knows the task");
            continue;
        }
        entry->delivery = Delivery::NotSent;
        entry->prepared = false;
        entry->running = false;
        if (entry->stopCause != StopCause::None)
            proposeEnd(now, id, *entry, Wire::TASK_END_STOPPED, "stopped before the worker heard of it");
    }
}

void ZoneScheduler::Private::updateMemoryPressure(Slot slot)
{
    const Placement::WorkerEntry &entry = planner_->workers().at(slot);
    std::int64_t used = 0;
    for (const TaskId &id : worker(slot).tasks) {
        if (const TaskEntry *task = find(id))
            used += task->usage.peak().memoryBytes;
    }
    const auto capacity = static_cast<double>(std::max<std::int64_t>(entry.capacity.memoryBytes, 1));
    const auto excess = static_cast<double>(std::max<std::int64_t>(used - entry.allocated.memoryBytes, 0));
    planner_->workers().setMemoryPressure(slot, excess / capacity);
}

void ZoneScheduler::Private::stopTasksAboveCapacity(const EventContext &now, Slot slot)
{
    const Placement::WorkerEntry &entry = planner_->workers().at(slot);
    Resources staying = entry.allocated;
    std::vector<Placement::PlacedTask> tasks = entry.tasks;
    std::sort(tasks.begin(), tasks.end(), [](const auto &left, const auto &right) {
        const bool leftService = left.kind == Placement::WorkKind::Service;
        const bool rightService = right.kind == Placement::WorkKind::Service;
        if (leftService != rightService)
            return rightService;
        return left.standing > right.standing;
    });
    for (const Placement::PlacedTask &placed : tasks) {
        if (staying.fitsIn(entry.capacity))
            return;
        staying -= placed.resources;
        TaskEntry *task = find(placed.task);
        if (task == nullptr)
            continue;
        recordDecision("stop", placed.task, task, "the capacity of the worker shrank");
        stop(now, placed.task, *task, StopCause::Moved, bookings_.at(placed.task.booking).spec.grace);
    }
}

void ZoneScheduler::Private::updateAccepting(const EventContext &now, Slot slot)
{
    const Placement::WorkerEntry &entry = planner_->workers().at(slot);
    const Placement::WorkerHealth::Mode mode = health_.mode(now.time, entry.id);
    const bool healthy
        = mode == Placement::WorkerHealth::Mode::Healthy || mode == Placement::WorkerHealth::Mode::ProbeDue;
    const bool accepting
        = healthy && entry.known && leases_.isConfirmed(slot) && !worker(slot).leaving && !state_.isDraining(entry.id);
    if (accepting != entry.accepting || accepting)
        planner_->workers().setAccepting(slot, accepting, mode == Placement::WorkerHealth::Mode::ProbeDue);
    if (!accepting)
        planner_->workerUnavailable(slot);
}

void ZoneScheduler::Private::moveTasksAway(const EventContext &now, Slot slot)
{
    const Placement::WorkerEntry &entry = planner_->workers().at(slot);
    if (!worker(slot).leaving && !state_.isDraining(entry.id))
        return;
    // Services are moved first because clients are waiting for their responses.
    std::vector<Placement::PlacedTask> tasks = entry.tasks;
    std::stable_sort(tasks.begin(), tasks.end(), [](const auto &left, const auto &right) {
        return left.kind == Placement::WorkKind::Service && right.kind != Placement::WorkKind::Service;
    });
    for (const Placement::PlacedTask &placed : tasks) {
        TaskEntry *task = find(placed.task);
        if (task == nullptr || task->stopCause != StopCause::None || task->endProposed)
            continue;
        recordDecision("stop", placed.task, task, "the worker is leaving");
        stop(now, placed.task, *task, StopCause::Moved, bookings_.at(placed.task.booking).spec.grace);
    }
}

void ZoneScheduler::Private::checkUnhealthyWorkers(const EventContext &now)
{
    for (auto slot = unhealthy_.begin(); slot != unhealthy_.end();) {
        const WorkerId name = planner_->workers().at(*slot).id;
        for (const TaskId &id : worker(*slot).tasks) {
            const TaskEntry *entry = find(id);
            if (entry != nullptr && entry->runningSince
                && now.time - *entry->runningSince >= Placement::WorkerHealth::earlyFailure)
                health_.recordSuccess(name, id.booking);
        }
        updateAccepting(now, *slot);
        const bool healthy = health_.mode(now.time, name) == Placement::WorkerHealth::Mode::Healthy;
        slot = healthy ? unhealthy_.erase(slot) : std::next(slot);
    }
}

} // namespace Pistachio::Scheduler
