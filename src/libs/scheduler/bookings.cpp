#include "scheduler/zoneschedulerprivate.h"
#include "wire/convert.h"
#include "zonestate/zonestate.h"

#include <cell.pb.h>

#include <algorithm>

namespace Pistachio::Scheduler
{

namespace
{

constexpr Duration defaultGrace = 30s;

Placement::WorkKind toKind(Wire::WorkKind kind)
{
    switch (kind) {
    case Wire::WORK_KIND_SERVICE:
        return Placement::WorkKind::Service;
    case Wire::WORK_KIND_TOGETHER:
        return Placement::WorkKind::Gang;
    default:
        return Placement::WorkKind::Batch;
    }
}

Placement::Standing toStanding(Wire::Standing standing)
{
    switch (standing) {
    case Wire::STANDING_URGENT:
        return Placement::Standing::Urgent;
    case Wire::STANDING_PROMISED:
        return Placement::Standing::Promised;
    case Wire::STANDING_SPARE:
        return Placement::Standing::Spare;
    default:
        return Placement::Standing::Normal;
    }
}

BookingSpec toSpec(const Wire::Booking &booking)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    BookingSpec spec;
    spec.id = BookingId(booking.id());
    spec.team = TeamId(booking.team());
    spec.kind = toKind(booking.kind());
    spec.standing = toStanding(booking.standing());
    spec.tasks = booking.tasks();
    spec.resources = Wire::toCore(booking.resources());
    spec.startUnixMs = booking.start_unix_s() * millisecondsPerSecond;
    spec.endUnixMs = booking.end_unix_s() * millisecondsPerSecond;
    spec.declaredRun = std::chrono::seconds(booking.run_seconds());
    spec.grace = booking.grace_seconds() > 0 ? Duration(std::chrono::seconds(booking.grace_seconds())) : defaultGrace;
    spec.checkpoint = booking.checkpoint();
    spec.command = booking.command();
    return spec;
}

} // namespace

void ZoneScheduler::Private::setBookings(const EventContext &now, std::span<const Wire::Booking> bookings,
                                         const Wire::Configuration &configuration)
{
    specs_.clear();
    for (const Wire::Booking &booking : bookings) {
        if (booking.zone() == zone_)
            specs_.push_back(toSpec(booking));
    }
    quotas_.clear();
    for (const Wire::TeamQuota &quota : configuration.quotas())
        quotas_[TeamId(quota.team())] = Wire::toCore(quota.limit());
    packingPercent_ = configuration.packing_weight_percent();
    if (!leader_)
        return;

    planner_->setPackingPercent(packingPercent_);
    planner_->setQuotas(quotas_);
    std::set<BookingId> current;
    for (const BookingSpec &spec : specs_)
        current.insert(spec.id);
    std::vector<BookingId> removed;
    for (const auto &[id, booking] : bookings_) {
        if (!booking.removedFromSheet && !current.contains(id))
            removed.push_back(id);
    }
    std::sort(removed.begin(), removed.end());
    for (const BookingId &id : removed) {
        bookings_.at(id).removedFromSheet = true;
        endBooking(now, bookings_.at(id));
        removeEndedBooking(id);
    }
    for (const BookingSpec &spec : specs_) {
        const auto [found, added] = bookings_.try_emplace(spec.id);
        BookingEntry &booking = found->second;
        if (!added && !booking.removedFromSheet && booking.spec == spec)
            continue;
        // Waiting tasks are queued again with the new specification; placed tasks keep the resources they have.
        if (!added) {
            for (std::uint32_t index = 0; index < booking.tasks.size(); ++index)
                withdraw(booking, index);
        }
        wallClockTimers_.erase({booking.spec.startUnixMs, spec.id});
        wallClockTimers_.erase({booking.spec.endUnixMs, spec.id});
        booking.spec = spec;
        booking.removedFromSheet = false;
        booking.held = false;
        reconcile(now, booking);
    }
}

void ZoneScheduler::Private::reconcile(const EventContext &now, BookingEntry &booking)
{
    const BookingSpec &spec = booking.spec;
    if (booking.tasks.size() < spec.tasks)
        booking.tasks.resize(spec.tasks);
    for (std::uint32_t index = spec.tasks; index < booking.tasks.size(); ++index) {
        withdraw(booking, index);
        TaskEntry &entry = booking.tasks[index];
        if (entry.isPlaced())
            stop(now, {spec.id, index}, entry, StopCause::NoLongerBooked, spec.grace);
    }
    if (spec.endUnixMs != 0 && spec.endUnixMs <= now.unixMs) {
        endBooking(now, booking);
        return;
    }
    if (spec.endUnixMs != 0)
        wallClockTimers_.emplace(spec.endUnixMs, spec.id);
    if (spec.startUnixMs > now.unixMs) {
        wallClockTimers_.emplace(spec.startUnixMs, spec.id);
        booking.active = false;
        return;
    }
    booking.active = true;
    if (spec.kind == Placement::WorkKind::Gang) {
        enqueueGang(now, booking);
        return;
    }
    for (std::uint32_t index = 0; index < spec.tasks; ++index)
        enqueue(now, booking, index);
}

void ZoneScheduler::Private::runWallClockTimers(const EventContext &now)
{
    while (!wallClockTimers_.empty() && wallClockTimers_.begin()->first <= now.unixMs) {
        const BookingId id = wallClockTimers_.begin()->second;
        wallClockTimers_.erase(wallClockTimers_.begin());
        if (BookingEntry *booking = find(id); booking != nullptr && !booking->removedFromSheet)
            reconcile(now, *booking);
    }
}

void ZoneScheduler::Private::requeueDelayedTasks(const EventContext &now)
{
    while (!delayedTasks_.empty() && delayedTasks_.begin()->first <= now.time) {
        const TaskId id = delayedTasks_.begin()->second;
        delayedTasks_.erase(delayedTasks_.begin());
        BookingEntry *booking = find(id.booking);
        TaskEntry *entry = find(id);
        if (entry == nullptr || entry->phase != TaskPhase::Delayed)
            continue;
        entry->phase = TaskPhase::Idle;
        booking->held = false;
        if (booking->spec.kind == Placement::WorkKind::Gang)
            enqueueGang(now, *booking);
        else
            enqueue(now, *booking, id.index);
    }
}

void ZoneScheduler::Private::enqueue(const EventContext &now, BookingEntry &booking, std::uint32_t index)
{
    TaskEntry &entry = booking.tasks[index];
    const TaskId id{booking.spec.id, index};
    const ZoneState::TaskPast *past = state_.tasks().past(id);
    if (!booking.active || booking.isOnHold() || entry.phase != TaskPhase::Idle || (past != nullptr && past->completed))
        return;
    if (entry.readyAt == TimePoint{})
        entry.readyAt = now.time;
    entry.phase = TaskPhase::Waiting;
    Placement::Unit unit{workOf(booking.spec), {index}, entry.readyAt, {}};
    if (past != nullptr) {
        for (const std::string &worker : past->failedWorkers)
            unit.avoided.emplace_back(worker);
    }
    planner_->enqueue(std::move(unit));
}

void ZoneScheduler::Private::enqueueGang(const EventContext &now, BookingEntry &booking)
{
    if (!booking.active || booking.held)
        return;
    Placement::Unit unit{workOf(booking.spec), {}, now.time, {}};
    for (std::uint32_t index = 0; index < booking.tasks.size(); ++index) {
        const TaskEntry &entry = booking.tasks[index];
        if (entry.phase != TaskPhase::Idle)
            return; // queued as a whole, once none of its tasks is placed, waiting or delayed
        const ZoneState::TaskPast *past = state_.tasks().past({booking.spec.id, index});
        if (index >= booking.spec.tasks || (past != nullptr && past->completed))
            continue;
        unit.tasks.push_back(index);
        for (const std::string &worker : past == nullptr ? std::vector<std::string>() : past->failedWorkers)
            unit.avoided.emplace_back(worker);
    }
    if (unit.tasks.empty())
        return;
    TaskEntry &first = booking.tasks[unit.tasks.front()];
    if (first.readyAt == TimePoint{})
        first.readyAt = now.time;
    unit.readyAt = first.readyAt;
    booking.startProposed = false;
    for (const std::uint32_t index : unit.tasks)
        booking.tasks[index].phase = TaskPhase::Waiting;
    planner_->enqueue(std::move(unit));
}

void ZoneScheduler::Private::withdraw(BookingEntry &booking, std::uint32_t index)
{
    TaskEntry &entry = booking.tasks[index];
    if (entry.phase != TaskPhase::Waiting && entry.phase != TaskPhase::Delayed)
        return;
    // A gang is queued under its first task, so withdrawing that one withdraws all.
    planner_->withdraw({booking.spec.id, index});
    entry.phase = TaskPhase::Idle;
}

void ZoneScheduler::Private::endBooking(const EventContext &now, BookingEntry &booking)
{
    booking.active = false;
    for (std::uint32_t index = 0; index < booking.tasks.size(); ++index) {
        withdraw(booking, index);
        TaskEntry &entry = booking.tasks[index];
        if (entry.isPlaced())
            stop(now, {booking.spec.id, index}, entry, StopCause::NoLongerBooked, booking.spec.grace);
    }
}

void ZoneScheduler::Private::removeEndedBooking(const BookingId &id)
{
    const auto found = bookings_.find(id);
    if (found == bookings_.end() || !found->second.removedFromSheet)
        return;
    const auto &tasks = found->second.tasks;
    if (std::any_of(tasks.begin(), tasks.end(), [](const TaskEntry &task) { return task.isPlaced(); }))
        return;
    wallClockTimers_.erase({found->second.spec.startUnixMs, id});
    wallClockTimers_.erase({found->second.spec.endUnixMs, id});
    estimates_.remove(id);
    bookings_.erase(found);
}

BookingEntry *ZoneScheduler::Private::find(const BookingId &booking)
{
    const auto found = bookings_.find(booking);
    return found == bookings_.end() ? nullptr : &found->second;
}

TaskEntry *ZoneScheduler::Private::find(const TaskId &task)
{
    BookingEntry *booking = find(task.booking);
    return booking == nullptr || task.index >= booking->tasks.size() ? nullptr : &booking->tasks[task.index];
}

std::shared_ptr<const Placement::Work> ZoneScheduler::Private::workOf(const BookingSpec &spec) const
{
    auto work = std::make_shared<Placement::Work>();
    work->booking = spec.id;
    work->team = spec.team;
    work->kind = spec.kind;
    work->standing = spec.standing;
    work->resources = spec.resources;
    work->checkpoint = spec.checkpoint;
    if (spec.kind != Placement::WorkKind::Service)
        work->estimatedRun = estimates_.estimate(spec.id, spec.declaredRun);
    return work;
}

} // namespace Pistachio::Scheduler
