#include "scheduler/zoneschedulerprivate.h"
#include "wire/convert.h"
#include "zonestate/zonestate.h"

#include <algorithm>

namespace Pistachio::Scheduler
{

namespace
{

// Limits the time that one event takes; the other steps follow with the next event.
constexpr std::size_t maxStepsPerEvent = 256;
// Gives the zone state that refused a command time to change before the command is proposed again.
constexpr Duration rejectionRetryDelay = 200ms;
// Longest grace period of a task displaced for urgent work, which has to start within 3.7 s including commits and
// messages.
constexpr Duration maxUrgentGrace = 2500ms;
constexpr Duration historyRemovalInterval = 10min;
constexpr int maxBookingsPerRemoval = 200;
constexpr std::int64_t historyRetentionMs = 24LL * 3600 * 1000;

} // namespace

void ZoneScheduler::Private::plan(const EventContext &now)
{
    for (Placement::PlannedStep &step : planner_->plan(now.time, maxStepsPerEvent))
        execute(now, step);
}

void ZoneScheduler::Private::execute(const EventContext &now, Placement::PlannedStep &step)
{
    if (step.kind == Placement::PlannedStep::Kind::Assign) {
        assign(now, step);
        return;
    }
    DecisionRecord record{"reserve",
                          step.unit.id(),
                          0,
                          planner_->workers().at(step.workers.front()).id,
                          std::string(step.policy),
                          step.score,
                          step.candidates,
                          std::to_string(step.workers.size()) + " workers are kept for it"};
    if (step.kind == Placement::PlannedStep::Kind::Displace) {
        record.action = "displace";
        record.task = step.victim;
        record.reason = "makes room for " + step.unit.id().toString();
        const bool urgent = step.unit.work->standing == Placement::Standing::Urgent;
        Duration grace = bookings_.at(step.victim.booking).spec.grace;
        if (urgent)
            grace = std::min(grace, maxUrgentGrace);
        if (TaskEntry *victim = find(step.victim))
            stop(now, step.victim, *victim, StopCause::Displaced, grace);
    }
    commands_.decisions.push_back(std::move(record));
}

void ZoneScheduler::Private::assign(const EventContext &now, Placement::PlannedStep &step)
{
    BookingEntry &booking = bookings_.at(step.unit.work->booking);
    const bool gang = booking.spec.kind == Placement::WorkKind::Gang;
    Wire::AssignTasks &command = *propose(now).mutable_assign_tasks();
    for (std::size_t i = 0; i < step.unit.tasks.size(); ++i) {
        const TaskId id{booking.spec.id, step.unit.tasks[i]};
        const Placement::WorkerEntry &target = planner_->workers().at(step.workers[i]);
        TaskEntry &entry = booking.tasks[id.index];
        const TimePoint readyAt = entry.readyAt;
        entry = TaskEntry();
        entry.phase = TaskPhase::Proposed;
        entry.readyAt = readyAt;
        entry.slot = step.workers[i];
        entry.incarnation = ++lastIncarnation_;
        entry.assignedAt = now.time;
        entry.work = step.unit.work;
        health_.recordPlacement(target.id);

        Wire::Assignment &assignment = *command.add_assignments();
        Wire::fill(*assignment.mutable_task(), id);
        assignment.set_incarnation(entry.incarnation);
        assignment.set_worker(target.id.value());
        Wire::fill(*assignment.mutable_resources(), entry.work->resources);
        Wire::fill(*assignment.mutable_worker_capacity(), target.capacity);
        assignment.set_prepared_only(gang);
        commands_.decisions.push_back({"assign", id, entry.incarnation, target.id, std::string(step.policy), step.score,
                                       step.candidates, "fits"});
    }
}

void ZoneScheduler::Private::assignmentApplied(const EventContext &now, const Wire::AssignTasks &command, bool accepted)
{
    for (const Wire::Assignment &assignment : command.assignments()) {
        const TaskId id = Wire::toCore(assignment.task());
        BookingEntry *booking = find(id.booking);
        TaskEntry *entry = find(id);
        if (entry == nullptr || entry->phase != TaskPhase::Proposed || entry->incarnation != assignment.incarnation())
            continue;
        if (!accepted) {
            revertAssignment(now, *booking, id.index, rejectionRetryDelay);
            continue;
        }
        entry->phase = TaskPhase::Assigned;
        worker(entry->slot).tasks.insert(id);
        // The worker may have been lost or started to leave while the assignment was being committed.
        if (!leases_.isTracked(entry->slot))
            proposeEnd(now, id, *entry, Wire::TASK_END_LOST, "the worker was lost before it heard of the task");
        else if (entry->stopCause != StopCause::None)
            proposeEnd(now, id, *entry, Wire::TASK_END_STOPPED, "stopped before the worker heard of it");
        else
            leases_.answerSoon(now.time, entry->slot);
    }
}

void ZoneScheduler::Private::revertAssignment(const EventContext &now, BookingEntry &booking, std::uint32_t index,
                                              Duration delay)
{
    const TaskId id{booking.spec.id, index};
    TaskEntry &entry = booking.tasks[index];
    planner_->release(entry.slot, *entry.work, id);
    health_.recordProbeLost(planner_->workers().at(entry.slot).id);
    worker(entry.slot).tasks.erase(id);
    stopDeadlines_.erase({entry.stopDeadline, id});
    removeUnusedWorker(entry.slot);
    const TimePoint readyAt = entry.readyAt;
    entry = TaskEntry();
    entry.readyAt = readyAt;
    if (!booking.active) {
        removeEndedBooking(id.booking);
        return;
    }
    entry.phase = TaskPhase::Delayed;
    delayedTasks_.emplace(now.time + delay, id);
}

void ZoneScheduler::Private::startGangIfPrepared(const EventContext &now, BookingEntry &booking)
{
    if (booking.spec.kind != Placement::WorkKind::Gang || booking.startProposed || !booking.active)
        return;
    const ZoneState::TaskTable::Assignments &assigned = state_.tasks().assignmentsOf(booking.spec.id);
    std::size_t wanted = 0;
    for (std::uint32_t index = 0; index < booking.spec.tasks; ++index) {
        const ZoneState::TaskPast *past = state_.tasks().past({booking.spec.id, index});
        if (past == nullptr || !past->completed)
            ++wanted;
    }
    if (assigned.size() != wanted)
        return;
    for (const auto &[index, assignment] : assigned) {
        const TaskEntry &entry = booking.tasks[index];
        if (assignment.started || !entry.prepared || entry.stopCause != StopCause::None || entry.endProposed)
            return;
    }
    Wire::StartJob &command = *propose(now).mutable_start_job();
    command.set_booking(booking.spec.id.value());
    for (const auto &[index, assignment] : assigned)
        command.add_incarnations(assignment.incarnation);
    booking.startProposed = true;
}

void ZoneScheduler::Private::startApplied(const EventContext &now, const std::string &id, bool accepted)
{
    BookingEntry *booking = find(BookingId(id));
    if (booking == nullptr)
        return;
    booking->startProposed = false;
    if (!accepted) {
        // Workers report a task as prepared only once, so no later report would trigger the start again.
        gangStartRetries_.emplace(now.time + rejectionRetryDelay, booking->spec.id);
        return;
    }
    for (const TaskEntry &entry : booking->tasks) {
        if (entry.phase == TaskPhase::Assigned)
            leases_.answerSoon(now.time, entry.slot);
    }
}

void ZoneScheduler::Private::retryGangStarts(const EventContext &now)
{
    while (!gangStartRetries_.empty() && gangStartRetries_.begin()->first <= now.time) {
        BookingEntry *booking = find(gangStartRetries_.begin()->second);
        gangStartRetries_.erase(gangStartRetries_.begin());
        if (booking != nullptr)
            startGangIfPrepared(now, *booking);
    }
}

void ZoneScheduler::Private::removeOldHistory(const EventContext &now)
{
    if (now.time < historyRemovalDue_)
        return;
    historyRemovalDue_ = now.time + historyRemovalInterval;
    std::vector<BookingId> old;
    for (const auto &[id, tasks] : state_.tasks().pasts()) {
        if (bookings_.contains(id))
            continue;
        const bool recent = std::any_of(tasks.begin(), tasks.end(), [&](const auto &task) {
            return task.second.endedUnixMs > now.unixMs - historyRetentionMs;
        });
        if (!recent)
            old.push_back(id);
    }
    if (old.empty())
        return;
    std::sort(old.begin(), old.end());
    Wire::ForgetBookings &command = *propose(now).mutable_forget_bookings();
    for (const BookingId &id : old) {
        command.add_bookings(id.value());
        if (command.bookings_size() >= maxBookingsPerRemoval)
            break;
    }
}

void ZoneScheduler::Private::recordDecision(std::string action, const TaskId &task, const TaskEntry *entry,
                                            std::string reason)
{
    DecisionRecord record;
    record.action = std::move(action);
    record.task = task;
    if (entry != nullptr && entry->isPlaced()) {
        record.incarnation = entry->incarnation;
        record.worker = planner_->workers().at(entry->slot).id;
    }
    record.reason = std::move(reason);
    commands_.decisions.push_back(std::move(record));
}

} // namespace Pistachio::Scheduler
