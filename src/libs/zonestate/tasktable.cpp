#include "zonestate/tasktable.h"

#include "wire/convert.h"

#include <zone.pb.h>

#include <algorithm>
#include <set>

namespace Pistachio::ZoneState
{

namespace
{

// Operators ask for the outcome of a booking for a day after it ended, as callers do for requests.
constexpr std::int64_t historyRetentionMs = 24LL * 3600 * 1000;
// Enough to tell "fails everywhere"; a longer list has no reader.
constexpr std::size_t rememberedFailedWorkers = 8;

EndReason toReason(Wire::TaskEndReason reason)
{
    switch (reason) {
    case Wire::TASK_END_COMPLETED:
        return EndReason::Completed;
    case Wire::TASK_END_FAILED:
        return EndReason::Failed;
    case Wire::TASK_END_STOPPED:
        return EndReason::Stopped;
    case Wire::TASK_END_NOT_STARTED:
        return EndReason::NotStarted;
    default:
        return EndReason::Lost;
    }
}

Wire::TaskEndReason toWire(EndReason reason)
{
    switch (reason) {
    case EndReason::None:
        return Wire::TASK_END_UNSPECIFIED;
    case EndReason::Completed:
        return Wire::TASK_END_COMPLETED;
    case EndReason::Failed:
        return Wire::TASK_END_FAILED;
    case EndReason::Stopped:
        return Wire::TASK_END_STOPPED;
    case EndReason::NotStarted:
        return Wire::TASK_END_NOT_STARTED;
    case EndReason::Lost:
        return Wire::TASK_END_LOST;
    }
    return Wire::TASK_END_LOST;
}

template<class Map> std::vector<BookingId> sortedKeys(const Map &map)
{
    std::vector<BookingId> keys;
    keys.reserve(map.size());
    for (const auto &[key, value] : map)
        keys.push_back(key);
    std::sort(keys.begin(), keys.end());
    return keys;
}

} // namespace

Result<void> TaskTable::check(const Wire::AssignTasks &command) const
{
    std::map<WorkerId, Resources> sums;
    std::set<TaskId> seen;
    for (const Wire::Assignment &wanted : command.assignments()) {
        const TaskId task = Wire::toCore(wanted.task());
        const WorkerId worker(wanted.worker());
        const Resources resources = Wire::toCore(wanted.resources());
        if (resources.isNegative() || worker.isEmpty())
            return failure(ErrorCode::InvalidArgument, task.toString() + ": negative resources or no worker");
        if (!seen.insert(task).second || assignment(task) != nullptr)
            return failure(ErrorCode::Conflict, task.toString() + " is already assigned");
        const TaskPast *history = past(task);
        if (wanted.incarnation() <= (history != nullptr ? history->incarnation : forgottenIncarnation_))
            return failure(ErrorCode::Conflict,
                           task.toString() + ": incarnation " + std::to_string(wanted.incarnation()) + " is not new");
        if (history != nullptr && history->completed)
            return failure(ErrorCode::Conflict, task.toString() + " has completed");
        Resources &sum = sums.try_emplace(worker, allocated(worker)).first->second;
        sum += resources;
        const std::string_view missing = sum.missingFrom(Wire::toCore(wanted.worker_capacity()));
        if (!missing.empty())
            return failure(ErrorCode::Capacity,
                           task.toString() + " exceeds the " + std::string(missing) + " of worker " + worker.value());
    }
    return success();
}

Result<void> TaskTable::assign(const Wire::AssignTasks &command, std::int64_t unixMs)
{
    BOOST_OUTCOME_TRYV(check(command));
    for (const Wire::Assignment &wanted : command.assignments()) {
        const TaskId task = Wire::toCore(wanted.task());
        const WorkerId worker(wanted.worker());
        const Resources resources = Wire::toCore(wanted.resources());
        assignments_[task.booking].emplace(task.index,
                                           TaskAssignment{task, wanted.incarnation(), worker, resources, unixMs,
                                                          wanted.prepared_only(), !wanted.prepared_only()});
        pasts_[task.booking][task.index].incarnation = wanted.incarnation();
        allocated_[worker] += resources;
        highestIncarnation_ = std::max(highestIncarnation_, wanted.incarnation());
    }
    return success();
}

Result<void> TaskTable::start(const Wire::StartJob &command)
{
    const auto found = assignments_.find(BookingId(command.booking()));
    if (found == assignments_.end() || command.incarnations().empty())
        return failure(ErrorCode::NotFound, "booking " + command.booking() + " has no prepared tasks");
    Assignments &tasks = found->second;
    if (tasks.size() != static_cast<std::size_t>(command.incarnations_size()))
        return failure(ErrorCode::Conflict, "booking " + command.booking() + " has not all its tasks prepared");
    auto incarnation = command.incarnations().begin();
    for (const auto &[index, task] : tasks) {
        if (task.incarnation != *incarnation || task.started)
            return failure(ErrorCode::Conflict,
                           task.task.toString() + " is not prepared as incarnation " + std::to_string(*incarnation));
        ++incarnation;
    }
    for (auto &[number, task] : tasks)
        task.started = true;
    return success();
}

bool TaskTable::end(const Wire::TaskEnd &end, std::int64_t unixMs)
{
    const TaskId task = Wire::toCore(end.task());
    const auto booking = assignments_.find(task.booking);
    if (booking == assignments_.end())
        return false;
    const auto found = booking->second.find(task.index);
    if (found == booking->second.end() || found->second.incarnation != end.incarnation())
        return false;

    TaskPast &history = pasts_[task.booking][task.index];
    history.reason = toReason(end.reason());
    history.detail = end.detail();
    history.worker = found->second.worker;
    history.endedUnixMs = unixMs;
    history.completed = history.reason == EndReason::Completed;
    if (end.displaced())
        ++history.displacements;
    if (history.reason == EndReason::Failed) {
        ++history.failures;
        const std::string &worker = history.worker.value();
        const bool known = std::find(history.failedWorkers.begin(), history.failedWorkers.end(), worker)
            != history.failedWorkers.end();
        if (!known && history.failedWorkers.size() < rememberedFailedWorkers)
            history.failedWorkers.push_back(worker);
    }

    const auto sum = allocated_.find(found->second.worker);
    sum->second -= found->second.resources;
    if (sum->second == Resources{})
        allocated_.erase(sum);
    booking->second.erase(found);
    if (booking->second.empty())
        assignments_.erase(booking);
    return true;
}

void TaskTable::forget(const Wire::ForgetBookings &command, std::int64_t unixMs)
{
    for (const std::string &name : command.bookings()) {
        const BookingId booking(name);
        const auto found = pasts_.find(booking);
        if (found == pasts_.end() || assignments_.contains(booking))
            continue;
        const bool recent = std::any_of(found->second.begin(), found->second.end(), [&](const auto &entry) {
            return entry.second.endedUnixMs > unixMs - historyRetentionMs;
        });
        if (recent)
            continue;
        for (const auto &[index, history] : found->second)
            forgottenIncarnation_ = std::max(forgottenIncarnation_, history.incarnation);
        pasts_.erase(found);
    }
}

const TaskAssignment *TaskTable::assignment(const TaskId &task) const
{
    const Assignments &tasks = assignmentsOf(task.booking);
    const auto found = tasks.find(task.index);
    return found == tasks.end() ? nullptr : &found->second;
}

const TaskPast *TaskTable::past(const TaskId &task) const
{
    const auto booking = pasts_.find(task.booking);
    if (booking == pasts_.end())
        return nullptr;
    const auto found = booking->second.find(task.index);
    return found == booking->second.end() ? nullptr : &found->second;
}

const TaskTable::Assignments &TaskTable::assignmentsOf(const BookingId &booking) const
{
    static const Assignments none;
    const auto found = assignments_.find(booking);
    return found == assignments_.end() ? none : found->second;
}

Resources TaskTable::allocated(const WorkerId &worker) const
{
    const auto found = allocated_.find(worker);
    return found == allocated_.end() ? Resources{} : found->second;
}

void TaskTable::save(Wire::ZoneSnapshot &snapshot) const
{
    for (const BookingId &booking : sortedKeys(assignments_)) {
        for (const auto &[index, task] : assignments_.at(booking)) {
            Wire::StoredAssignment &stored = *snapshot.add_assignments();
            Wire::Assignment &assignment = *stored.mutable_assignment();
            Wire::fill(*assignment.mutable_task(), task.task);
            assignment.set_incarnation(task.incarnation);
            assignment.set_worker(task.worker.value());
            Wire::fill(*assignment.mutable_resources(), task.resources);
            assignment.set_prepared_only(!task.started);
            stored.set_assigned_unix_ms(task.assignedUnixMs);
            stored.set_gang(task.gang);
        }
    }
    for (const BookingId &booking : sortedKeys(pasts_)) {
        for (const auto &[index, history] : pasts_.at(booking)) {
            Wire::TaskHistory &stored = *snapshot.add_histories();
            Wire::fill(*stored.mutable_task(), TaskId{booking, index});
            stored.set_incarnation(history.incarnation);
            stored.set_reason(toWire(history.reason));
            stored.set_detail(history.detail);
            stored.set_worker(history.worker.value());
            stored.set_ended_unix_ms(history.endedUnixMs);
            stored.set_completed(history.completed);
            stored.set_displacements(history.displacements);
            stored.set_failures(history.failures);
            for (const std::string &worker : history.failedWorkers)
                stored.add_failed_workers(worker);
        }
    }
    snapshot.set_highest_incarnation(highestIncarnation_);
    snapshot.set_forgotten_incarnation(forgottenIncarnation_);
}

Result<void> TaskTable::load(const Wire::ZoneSnapshot &snapshot)
{
    *this = TaskTable();
    for (const Wire::StoredAssignment &stored : snapshot.assignments()) {
        const Wire::Assignment &assignment = stored.assignment();
        const TaskId task = Wire::toCore(assignment.task());
        TaskAssignment loaded{task,
                              assignment.incarnation(),
                              WorkerId(assignment.worker()),
                              Wire::toCore(assignment.resources()),
                              stored.assigned_unix_ms(),
                              stored.gang(),
                              !assignment.prepared_only()};
        allocated_[loaded.worker] += loaded.resources;
        if (!assignments_[task.booking].emplace(task.index, std::move(loaded)).second)
            return failure(ErrorCode::Corrupt, "the snapshot assigns " + task.toString() + " twice");
    }
    for (const Wire::TaskHistory &stored : snapshot.histories()) {
        const TaskId task = Wire::toCore(stored.task());
        TaskPast &history = pasts_[task.booking][task.index];
        history.incarnation = stored.incarnation();
        history.reason = stored.reason() == Wire::TASK_END_UNSPECIFIED ? EndReason::None : toReason(stored.reason());
        history.detail = stored.detail();
        history.worker = WorkerId(stored.worker());
        history.endedUnixMs = stored.ended_unix_ms();
        history.completed = stored.completed();
        history.displacements = stored.displacements();
        history.failures = stored.failures();
        history.failedWorkers.assign(stored.failed_workers().begin(), stored.failed_workers().end());
    }
    highestIncarnation_ = snapshot.highest_incarnation();
    forgottenIncarnation_ = snapshot.forgotten_incarnation();
    return success();
}

} // namespace Pistachio::ZoneState
