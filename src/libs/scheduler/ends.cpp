#include "scheduler/zoneschedulerprivate.h"
#include "wire/convert.h"
#include "zonestate/zonestate.h"

#include <algorithm>

namespace Pistachio::Scheduler
{

namespace
{

// A task that has not ended this long after its grace period is killed.
constexpr Duration stopMargin = 5s;
constexpr std::size_t failedWorkersBeforeHold = 3;
// A zone with fewer workers than that must not retry for ever either.
constexpr std::uint32_t failuresBeforeHold = 6;
// Services have to be there until their booked end, so they are tried again even when held.
constexpr Duration heldServiceRetry = 10min;
constexpr Duration firstRetryDelay = 1s;
constexpr Duration longestRetryDelay = 1min;
constexpr Duration notStartedDelay = 1s;

Duration retryDelay(std::uint32_t failures)
{
    Duration delay = firstRetryDelay;
    for (std::uint32_t i = 1; i < failures && delay < longestRetryDelay; ++i)
        delay *= 2;
    return std::min(delay, longestRetryDelay);
}

} // namespace

void ZoneScheduler::Private::stop(const EventContext &now, const TaskId &id, TaskEntry &entry, StopCause cause,
                                  Duration grace)
{
    // The first cause stays, but a task that was to move must not come back once its booking has ended.
    if (entry.cause != StopCause::None) {
        if (cause == StopCause::Ended)
            entry.cause = cause;
        return;
    }
    entry.cause = cause;
    entry.grace = grace;
    planner_->workers().setStopping(entry.slot, id);
    if (entry.phase == TaskPhase::Proposed)
        return; // see assignmentApplied()
    if (entry.delivery == Delivery::NotSent) {
        proposeEnd(now, id, entry, Wire::TASK_END_STOPPED, "stopped before the worker heard of it");
        return;
    }
    entry.stopDeadline = now.time + grace + stopMargin;
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
        entry->stopDeadline = now.time + stopMargin;
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
    Wire::TaskEnd &end = ends_.emplace_back();
    Wire::fill(*end.mutable_task(), id);
    end.set_incarnation(entry.incarnation);
    end.set_reason(reason);
    end.set_detail(std::move(detail));
    end.set_worker(planner_->workers().at(entry.slot).id.value());
    end.set_displaced(entry.cause == StopCause::Displaced && reason == Wire::TASK_END_STOPPED);
    if (entry.runningSince)
        end.set_run_ms(std::chrono::duration_cast<std::chrono::milliseconds>(now.time - *entry.runningSince).count());
    stopDeadlines_.erase({entry.stopDeadline, id});
}

void ZoneScheduler::Private::flushEnds(const EventContext &now)
{
    if (ends_.empty())
        return;
    Wire::EndTasks &command = *propose(now).mutable_end_tasks();
    for (Wire::TaskEnd &end : ends_)
        *command.add_ends() = std::move(end);
    ends_.clear();
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
    Wire::EndRecorded recorded;
    *recorded.mutable_task() = end.task();
    recorded.set_incarnation(end.incarnation());
    runner.recorded.push_back(std::move(recorded));
    stopDeadlines_.erase({entry.stopDeadline, id});

    judgeWorker(now, id, entry, end.reason());
    if (end.reason() == Wire::TASK_END_COMPLETED && entry.runningSince)
        estimates_.recordCompletion(id.booking, now.time - *entry.runningSince);
    planner_->release(slot, *entry.work, id);
    const TimePoint readyAt = entry.readyAt;
    decide("end", id, &entry, std::string(Wire::TaskEndReason_Name(end.reason())) + ' ' + end.detail());
    entry = TaskEntry();
    entry.readyAt = readyAt;

    BookingEntry &booking = bookings_.at(id.booking);
    if (!booking.active || id.index >= booking.spec.tasks)
        dropIfDone(id.booking);
    else if (booking.spec.kind == Placement::WorkKind::Gang)
        gangMemberEnded(now, booking);
    else
        endedTaskNext(now, booking, id.index);
    updateAccepting(now, slot);
    removeIfGone(slot);
}

void ZoneScheduler::Private::endedTaskNext(const EventContext &now, BookingEntry &booking, std::uint32_t index)
{
    const ZoneState::TaskPast *past = state_.tasks().past({booking.spec.id, index});
    // A booking that ended and came back with the next sheet runs again, whatever its tasks were stopped for.
    if (past == nullptr || past->completed)
        return;
    TaskEntry &entry = booking.tasks[index];
    switch (past->reason) {
    case ZoneState::EndReason::Failed:
        failed(now, booking, index);
        return;
    case ZoneState::EndReason::NotStarted:
        entry.phase = TaskPhase::Delayed;
        delays_.emplace(now.time + notStartedDelay, TaskId{booking.spec.id, index});
        return;
    default:
        enqueue(now, booking, index);
    }
}

void ZoneScheduler::Private::failed(const EventContext &now, BookingEntry &booking, std::uint32_t index)
{
    const TaskId id{booking.spec.id, index};
    const ZoneState::TaskPast &past = *state_.tasks().past(id);
    // What failed on a worker that fails everything says nothing about the job.
    std::size_t failedWorkers = 0;
    for (const std::string &name : past.failedWorkers) {
        if (health_.mode(now.time, WorkerId(name)) == Placement::WorkerHealth::Mode::Healthy)
            ++failedWorkers;
    }
    TaskEntry &entry = booking.tasks[index];
    entry.phase = TaskPhase::Delayed;
    const bool hold = failedWorkers >= failedWorkersBeforeHold || past.failures >= failuresBeforeHold;
    if (!hold) {
        delays_.emplace(now.time + retryDelay(past.failures), id);
        return;
    }
    booking.held = true;
    booking.heldReason = "failed " + std::to_string(past.failures) + " times on "
        + std::to_string(past.failedWorkers.size()) + " workers, last: " + past.detail;
    decide("hold", id, nullptr, booking.heldReason);
    if (booking.spec.kind == Placement::WorkKind::Service) {
        delays_.emplace(now.time + heldServiceRetry, id);
        return;
    }
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
        // Without one of them the others would wait for it, so all end and start again together.
        for (std::uint32_t index = 0; index < booking.spec.tasks; ++index) {
            TaskEntry &entry = booking.tasks[index];
            if (entry.isPlaced())
                stop(now, {booking.spec.id, index}, entry, StopCause::GangBroken, booking.spec.grace);
        }
        return;
    }
    if (lastFailed < booking.spec.tasks)
        failed(now, booking, lastFailed);
    else
        enqueueGang(now, booking);
}

void ZoneScheduler::Private::judgeWorker(const EventContext &now, const TaskId &id, const TaskEntry &entry,
                                         Wire::TaskEndReason reason)
{
    const WorkerId &name = planner_->workers().at(entry.slot).id;
    if (reason == Wire::TASK_END_COMPLETED) {
        health_.recordSuccess(name, id.booking);
        return;
    }
    if (reason != Wire::TASK_END_FAILED || entry.cause != StopCause::None) {
        health_.recordProbeLost(name);
        return;
    }
    const ZoneState::TaskPast *past = state_.tasks().past(id);
    const bool failsElsewhere = past != nullptr && past->failedWorkers.size() >= failedWorkersBeforeHold;
    const Duration ran = entry.runningSince ? now.time - *entry.runningSince : Duration::zero();
    if (!health_.recordFailure(now.time, name, id.booking, ran, failsElsewhere))
        return;
    unhealthy_.insert(entry.slot);
    decide("quarantine", id, &entry, "several bookings failed early on the worker");
}

} // namespace Pistachio::Scheduler
