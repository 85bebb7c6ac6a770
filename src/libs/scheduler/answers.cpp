#include "scheduler/zoneschedulerprivate.h"
#include "wire/convert.h"
#include "zonestate/zonestate.h"

namespace Pistachio::Scheduler
{

namespace
{
std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}
} // namespace

void ZoneScheduler::Private::answerDueSyncs(const EventContext &now)
{
    for (const Slot slot : leases_.dueWorkers(now.time, now.leadershipConfirmedAt))
        answerSync(now, slot);
}

void ZoneScheduler::Private::answerSync(const EventContext &now, Slot slot)
{
    Worker &recipient = worker(slot);
    const bool confirmed = leases_.isConfirmed(slot);
    WorkerAnswer &reply = commands_.answers.emplace_back();
    reply.worker = planner_->workers().at(slot).id;
    Wire::WorkerOrders &orders = reply.orders;
    orders.set_epoch(term_);
    orders.set_answered_sequence(leases_.outstandingSequence(slot));
    orders.set_boot_id(leases_.outstandingBootId(slot));
    orders.set_lease_ms(toMilliseconds(leaseDuration));
    orders.set_send_full(recipient.sendFull);
    recipient.sendFull = false;
    if (confirmed && !orders.send_full()) {
        for (Wire::EndRecorded &acknowledgement : recipient.endAcknowledgements)
            *orders.add_recorded() = std::move(acknowledgement);
        recipient.endAcknowledgements.clear();
        for (Wire::StopTask &stopOrder : recipient.stopOrders)
            *orders.add_stop() = std::move(stopOrder);
        recipient.stopOrders.clear();
        for (const TaskId &id : recipient.tasks) {
            if (TaskEntry *entry = find(id))
                addTaskOrders(id, *entry, orders);
        }
    }
    leases_.answered(now.time, slot);
}

bool ZoneScheduler::Private::needsOrder(const TaskId &id, const TaskEntry &entry) const
{
    if (entry.phase != TaskPhase::Assigned || entry.endProposed)
        return false;
    const ZoneState::TaskAssignment *assignment = state_.tasks().assignment(id);
    if (assignment == nullptr || assignment->incarnation != entry.incarnation)
        return false;
    if (entry.stopCause != StopCause::None)
        return entry.delivery != Delivery::NotSent && !entry.stopSent;
    const bool start = assignment->gang && assignment->started && entry.prepared && !entry.running && !entry.startSent;
    return entry.delivery == Delivery::NotSent || start || (entry.throttlePercent < 100 && !entry.throttleSent);
}

void ZoneScheduler::Private::addTaskOrders(const TaskId &id, TaskEntry &entry, Wire::WorkerOrders &orders)
{
    if (!needsOrder(id, entry))
        return;
    const ZoneState::TaskAssignment &assignment = *state_.tasks().assignment(id);
    if (entry.stopCause != StopCause::None) {
        Wire::StopTask &stop = *orders.add_stop();
        Wire::fill(*stop.mutable_task(), id);
        stop.set_incarnation(entry.incarnation);
        stop.set_grace_ms(toMilliseconds(entry.grace));
        stop.set_checkpoint(entry.work->checkpoint);
        entry.stopSent = true;
        return;
    }
    if (entry.delivery == Delivery::NotSent) {
        Wire::RunTask &run = *orders.add_run();
        Wire::fill(*run.mutable_task(), id);
        run.set_incarnation(entry.incarnation);
        Wire::fill(*run.mutable_resources(), entry.work->resources);
        run.set_command(bookings_.at(id.booking).spec.command);
        run.set_prepare_only(assignment.gang);
        entry.delivery = Delivery::Sent;
    }
    if (assignment.started && entry.prepared && !entry.running && !entry.startSent) {
        Wire::fill(*orders.add_start(), id);
        entry.startSent = true;
    }
    if (entry.throttlePercent < 100 && !entry.throttleSent) {
        Wire::ThrottleTask &throttle = *orders.add_throttle();
        Wire::fill(*throttle.mutable_task(), id);
        throttle.set_incarnation(entry.incarnation);
        throttle.set_percent(entry.throttlePercent);
        entry.throttleSent = true;
    }
}

void ZoneScheduler::Private::endTasksOfExpiredLeases(const EventContext &now)
{
    for (const Slot slot : leases_.takeExpired(now.time)) {
        Worker &lost = worker(slot);
        for (const TaskId &id : lost.tasks) {
            TaskEntry *entry = find(id);
            if (entry == nullptr)
                continue;
            if (!entry->endProposed)
                recordDecision("lost", id, entry, "the lease of the worker expired");
            proposeEnd(now, id, *entry, Wire::TASK_END_LOST, "the lease of the worker expired");
        }
        const std::set<TaskId> tasks = std::move(lost.tasks);
        lost = Worker();
        lost.tasks = tasks;
        updateAccepting(now, slot);
        planner_->workerUnavailable(slot);
        removeUnusedWorker(slot);
    }
}

void ZoneScheduler::Private::removeUnusedWorker(Slot slot)
{
    const Placement::WorkerEntry &entry = planner_->workers().at(slot);
    if (leases_.isTracked(slot) || !entry.tasks.empty() || !planner_->workers().find(entry.id))
        return;
    health_.remove(entry.id);
    unhealthy_.erase(slot);
    worker(slot) = Worker();
    leases_.remove(slot);
    planner_->workers().remove(slot);
}

} // namespace Pistachio::Scheduler
