#include "scheduler/zoneschedulerprivate.h"
#include "wire/convert.h"
#include "zonestate/zonestate.h"

#include <algorithm>

namespace Pistachio::Scheduler
{

namespace
{

// A task that has not ended this long after its grace period is killed; the kill is repeated at this interval.
constexpr Duration killDelay = 5s;
constexpr std::size_t failedWorkersBeforeHold = 3;
// Ends the retries in a zone that has fewer workers than failedWorkersBeforeHold.
constexpr std::uint32_t failuresBeforeHold = 6;
constexpr Duration firstRetryDelay = 1s;
constexpr Duration maxRetryDelay = 1min;
constexpr Duration notStartedRetryDelay = 1s;

Duration retryDelay(std::uint32_t failures)
{
    Duration delay = firstRetryDelay;
    for (std::uint32_t i = 1; i < failures && delay < maxRetryDelay; ++i)
        delay *= 2;
    return std::min(delay, maxRetryDelay);
}

} // namespace

void ZoneScheduler::Private::stop(const EventContext &now, const TaskId &id, TaskEntry &entry, StopCause cause,
                                  Duration grace)
{
    // The first cause is kept, except that a task stopped to move must not restart once it is no longer booked.
    if (entry.stopCause != StopCause::None) {
        if (cause == StopCause::NoLongerBooked)
            entry.stopCause = cause;
        return;
    }
    entry.stopCause = cause;
    entry.grace = grace;
    planner_->workers().setStopping(entry.slot, id);
    if (entry.phase == TaskPhase::Proposed)
        return; // assignmentApplied() proposes the end
    if (entry.delivery == Delivery::NotSent) {
        proposeEnd(now, id, entry, Wire::TASK_END_STOPPED, "stopped before the worker heard of it");
        return;
    }
    entry.stopDeadline = now.time + grace + killDelay;
    stopDeadlines_.emplace(entry.stopDeadline, id);
    leases_.answerSoon(now.time, entry.slot);
}

void ZoneScheduler::Private::checkStopDeadlines(const EventContext &now)
{
    while (!stopDeadlines_.empty() && stopDeadlines_.begin()->first <= now.time) {
        const TaskId id = stopDeadlines_.begin()->second;
        stopDeadlines_.erase(stopDeadlines_.begin());
        TaskEntry *entry = find(id);
        if (entry == nullptr || entry->phase != TaskPhase::Assigned || entry->endProposed)
            continue;
        entry->grace = Duration::zero();
        entry->stopSent = false;
        entry->stopDeadline = now.time + killDelay;
        stopDeadlines_.emplace(entry->stopDeadline, id);
        leases_.answerSoon(now.time, entry->slot);
    }
}

void ZoneScheduler::Private::proposeEnd(const EventContext &now, const TaskId &id, TaskEntry &entry,
                                        Wire::TaskEndReason reason, std::string detail)
{
    if (entry.endProposed)
        return;
    entry.endProposed = true;
    Wire::TaskEnd &end = pendingEnds_.emplace_back();
    Wire::fill(*end.mutable_task(), id);
    end.set_incarnation(entry.incarnation);
    end.set_reason(reason);
    end.set_detail(std::move(detail));
    end.set_worker(planner_->workers().at(entry.slot).id.value());
    end.set_displaced(entry.stopCause == StopCause::Displaced && reason == Wire::TASK_END_STOPPED);
    if (entry.runningSince)
        end.set_run_ms(std::chrono::duration_cast<std::chrono::milliseconds>(now.time - *entry.runningSince).count());
    stopDeadlines_.erase({entry.stopDeadline, id});
}

void ZoneScheduler::Private::flushEnds(const EventContext &now)
{
    if (pendingEnds_.empty())
        return;
    Wire::EndTasks &command = *propose(now).mutable_end_tasks();
    for (Wire::TaskEnd &end : pendingEnds_)
        *command.add_ends() = std::move(end);
    pendingEnds_.clear();
}

void ZoneScheduler::Private::endsApplied(const EventContext &now, const Wire::EndTasks &command)
{
    for (const Wire::TaskEnd &end : command.ends()) {
        const TaskId id = Wire::toCore(end.task());
        TaskEntry *entry = find(id);
        if (entry != nullptr && entry->phase == TaskPhase::Assigned && entry->incarnation == end.incarnation())
            endApplied(now, end, *entry);
    }
}

void ZoneScheduler::Private::endApplied(const EventContext &now, const Wire::TaskEnd &end, TaskEntry &entry)
{
    const TaskId id = Wire::toCore(end.task());
    const Slot slot = entry.slot;
    Worker &runner = worker(slot);
    runner.tasks.erase(id);
    Wire::EndRecorded acknowledgement;
    *acknowledgement.mutable_task() = end.task();
    acknowledgement.set_incarnation(end.incarnation());
    runner.endAcknowledgements.push_back(std::move(acknowledgement));
    stopDeadlines_.erase({entry.stopDeadline, id});

    updateWorkerHealth(now, id, entry, end.reason());
    if (end.reason() == Wire::TASK_END_COMPLETED && entry.runningSince)
        estimates_.recordCompletion(id.booking, now.time - *entry.runningSince);
    planner_->release(slot, *entry.work, id);
    const TimePoint readyAt = entry.readyAt;
    const Duration ran = entry.runningSince ? now.time - *entry.runningSince : Duration::zero();
    recordDecision("end", id, &entry, std::string(Wire::TaskEndReason_Name(end.reason())) + ' ' + end.detail());
    entry = TaskEntry();
    entry.readyAt = readyAt;

    BookingEntry &booking = bookings_.at(id.booking);
    if (!booking.active || id.index >= booking.spec.tasks)
        removeEndedBooking(id.booking);
    else if (booking.spec.kind == Placement::WorkKind::Gang)
        gangMemberEnded(now, booking);
    else
        rescheduleEndedTask(now, booking, id.index, ran);
    updateAccepting(now, slot);
    removeUnusedWorker(slot);
}

void ZoneScheduler::Private::rescheduleEndedTask(const EventContext &now, BookingEntry &booking, std::uint32_t index,
                                                 Duration ran)
{
    const ZoneState::TaskPast *past = state_.tasks().past({booking.spec.id, index});
    // Tasks of a booking that was removed and booked again run again, whatever they were stopped for.
    if (past == nullptr || past->completed)
        return;
    TaskEntry &entry = booking.tasks[index];
    switch (past->reason) {
    case ZoneState::EndReason::Failed:
        // Failures are counted for the life of a booking, so those before a long run of a service say nothing.
        if (booking.spec.kind == Placement::WorkKind::Service && ran >= maxRetryDelay) {
            entry.phase = TaskPhase::Delayed;
            delayedTasks_.emplace(now.time + firstRetryDelay, TaskId{booking.spec.id, index});
            return;
        }
        taskFailed(now, booking, index);
        return;
    case ZoneState::EndReason::NotStarted:
        entry.phase = TaskPhase::Delayed;
        delayedTasks_.emplace(now.time + notStartedRetryDelay, TaskId{booking.spec.id, index});
        return;
    default:
        enqueue(now, booking, index);
    }
}

void ZoneScheduler::Private::taskFailed(const EventContext &now, BookingEntry &booking, std::uint32_t index)
{
    const TaskId id{booking.spec.id, index};
    const ZoneState::TaskPast &past = *state_.tasks().past(id);
    // Unhealthy workers are not counted, since failures there say nothing about the job.
    std::size_t failedWorkers = 0;
    for (const std::string &name : past.failedWorkers) {
        if (health_.mode(now.time, WorkerId(name)) == Placement::WorkerHealth::Mode::Healthy)
            ++failedWorkers;
    }
    TaskEntry &entry = booking.tasks[index];
    entry.phase = TaskPhase::Delayed;
    const bool hold = failedWorkers >= failedWorkersBeforeHold || past.failures >= failuresBeforeHold;
    // Services have to run until their booked end, so they are retried even if they fail everywhere.
    const bool isService = booking.spec.kind == Placement::WorkKind::Service;
    if (!hold || isService)
        delayedTasks_.emplace(now.time + retryDelay(past.failures), id);
    if (!hold)
        return;
    booking.held = true;
    booking.heldReason = "failed " + std::to_string(past.failures) + " times on "
        + std::to_string(past.failedWorkers.size()) + " workers, last: " + past.detail;
    recordDecision("hold", id, nullptr, booking.heldReason);
    if (isService)
        return;
    for (std::uint32_t other = 0; other < booking.tasks.size(); ++other)
        withdraw(booking, other);
}

void ZoneScheduler::Private::gangMemberEnded(const EventContext &now, BookingEntry &booking)
{
    if (!booking.active || booking.held)
        return;
    std::uint32_t placed = 0;
    std::uint32_t open = 0;
    std::uint32_t lastFailed = booking.spec.tasks;
    for (std::uint32_t index = 0; index < booking.spec.tasks; ++index) {
        const TaskEntry &entry = booking.tasks[index];
        if (entry.isPlaced()) {
            ++placed;
            continue;
        }
        const ZoneState::TaskPast *past = state_.tasks().past({booking.spec.id, index});
        if (past != nullptr && past->completed)
            continue;
        ++open;
        if (past != nullptr && past->reason == ZoneState::EndReason::Failed)
            lastFailed = index;
    }
    if (open == 0)
        return;
    if (placed > 0) {
        // The tasks of a gang can't proceed without each other, so all are stopped and started again together.
        for (std::uint32_t index = 0; index < booking.spec.tasks; ++index) {
            TaskEntry &entry = booking.tasks[index];
            if (entry.isPlaced())
                stop(now, {booking.spec.id, index}, entry, StopCause::GangMemberEnded, booking.spec.grace);
        }
        return;
    }
    if (lastFailed < booking.spec.tasks)
        taskFailed(now, booking, lastFailed);
    else
        enqueueGang(now, booking);
}

void ZoneScheduler::Private::updateWorkerHealth(const EventContext &now, const TaskId &id, const TaskEntry &entry,
                                                Wire::TaskEndReason reason)
{
    const WorkerId &name = planner_->workers().at(entry.slot).id;
    if (reason == Wire::TASK_END_COMPLETED) {
        health_.recordSuccess(name, id.booking);
        return;
    }
    if (reason != Wire::TASK_END_FAILED || entry.stopCause != StopCause::None) {
        health_.recordProbeLost(name);
        return;
    }
    const ZoneState::TaskPast *past = state_.tasks().past(id);
    const bool failsElsewhere = past != nullptr && past->failedWorkers.size() >= failedWorkersBeforeHold;
    const Duration ran = entry.runningSince ? now.time - *entry.runningSince : Duration::zero();
    if (!health_.recordFailure(now.time, name, id.booking, ran, failsElsewhere))
        return;
    unhealthy_.insert(entry.slot);
    recordDecision("quarantine", id, &entry, "several bookings failed early on the worker");
}

} // namespace Pistachio::Scheduler
