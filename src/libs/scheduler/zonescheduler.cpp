#include "scheduler/zonescheduler.h"

#include "scheduler/zoneschedulerprivate.h"
#include "wire/convert.h"
#include "zonestate/zonestate.h"

#include <algorithm>

namespace Pistachio::Scheduler
{

namespace
{
// A new leader waits this long before it plans, or it would place everything on the few workers that reported first.
// Must stay below 3.7 s (start of urgent work) minus 2 s (longest election).
constexpr Duration initialReportWait = 500ms;
} // namespace

ZoneScheduler::ZoneScheduler(std::string zone, const ZoneState::ZoneState &state, std::uint64_t seed)
    : d_(std::make_unique<Private>(std::move(zone), state, seed))
{
}

ZoneScheduler::~ZoneScheduler() = default;

void ZoneScheduler::bookingsChanged(const EventContext &now, std::span<const Wire::Booking> bookings,
                                    const Wire::Configuration &configuration)
{
    d_->setBookings(now, bookings, configuration);
    d_->flush(now);
}

void ZoneScheduler::leadershipChanged(const EventContext &now, std::uint64_t term, bool isLeader)
{
    if (isLeader)
        d_->becomeLeader(now, term);
    else
        d_->loseLeadership();
}

void ZoneScheduler::workerSync(const EventContext &now, const Wire::WorkerSync &sync)
{
    if (!d_->leader_)
        return;
    d_->workerSync(now, sync);
    d_->flush(now);
}

void ZoneScheduler::applied(const EventContext &now, const Wire::ZoneCommand &command, const Wire::ZoneResult &result)
{
    if (!d_->leader_)
        return;
    const bool accepted = result.code() == Wire::ZONE_RESULT_ACCEPTED;
    if (command.has_assign_tasks())
        d_->assignmentApplied(now, command.assign_tasks(), accepted);
    else if (command.has_start_job())
        d_->startApplied(now, command.start_job().booking(), accepted);
    else if (command.has_end_tasks())
        d_->endsApplied(now, command.end_tasks());
    else if (command.has_set_drain()) {
        if (const auto slot = d_->planner_->workers().find(WorkerId(command.set_drain().worker()))) {
            d_->updateAccepting(now, *slot);
            d_->moveTasksAway(now, *slot);
        }
    } else {
        return;
    }
    d_->flush(now);
}

void ZoneScheduler::proposalRejected(const EventContext &now, const Wire::ZoneCommand &command)
{
    if (!d_->leader_)
        return;
    if (command.has_assign_tasks())
        d_->assignmentApplied(now, command.assign_tasks(), false);
    else if (command.has_start_job())
        d_->startApplied(now, command.start_job().booking(), false);
    for (const Wire::TaskEnd &end : command.end_tasks().ends()) {
        TaskEntry *entry = d_->find(Wire::toCore(end.task()));
        // flush() proposes it again with the next event.
        if (entry != nullptr && entry->incarnation == end.incarnation() && entry->endProposed)
            d_->pendingEnds_.push_back(end);
    }
}

void ZoneScheduler::stateRestored(const EventContext &now)
{
    if (!d_->leader_)
        return;
    d_->rebuild(now);
    d_->flush(now);
}

void ZoneScheduler::tick(const EventContext &now)
{
    d_->flush(now);
}

Commands ZoneScheduler::takeCommands()
{
    return std::exchange(d_->commands_, {});
}

Explanation ZoneScheduler::explain(const BookingId &booking) const
{
    return d_->explain(booking);
}

std::vector<WorkerView> ZoneScheduler::workers() const
{
    return d_->workerViews();
}

bool ZoneScheduler::isLeader() const
{
    return d_->leader_;
}

ZoneScheduler::Private::Private(std::string zone, const ZoneState::ZoneState &state, std::uint64_t /*seed*/)
    : zone_(std::move(zone))
    , state_(state)
{
}

void ZoneScheduler::Private::becomeLeader(const EventContext &now, std::uint64_t term)
{
    leader_ = true;
    term_ = term;
    planningStart_ = now.time + initialReportWait;
    historyRemovalDue_ = now.time;
    rebuild(now);
    flush(now);
}

void ZoneScheduler::Private::loseLeadership()
{
    leader_ = false;
    bookings_.clear();
    wallClockTimers_.clear();
    delayedTasks_.clear();
    gangStartRetries_.clear();
    stopDeadlines_.clear();
    memoryDeadlines_.clear();
    workers_.clear();
    unhealthy_.clear();
    pendingEnds_.clear();
    planner_.reset();
    health_ = {};
    commands_ = {};
}

void ZoneScheduler::Private::rebuild(const EventContext &now)
{
    loseLeadership();
    leader_ = true;
    leases_.reset(now.time, term_);
    lastIncarnation_ = state_.tasks().highestIncarnation();
    lastUnixMs_ = now.unixMs;
    planner_ = std::make_unique<Placement::Planner>([this](const TaskId &task) {
        const ZoneState::TaskPast *past = state_.tasks().past(task);
        return past == nullptr ? 0U : past->displacements;
    });
    planner_->setPackingPercent(packingPercent_);
    planner_->setQuotas(quotas_);
    for (const BookingSpec &spec : specs_)
        bookings_[spec.id].spec = spec;
    adoptAssignments(now);
    for (const BookingSpec &spec : specs_)
        reconcile(now, bookings_.at(spec.id));
    std::vector<BookingId> removed;
    for (const auto &[id, booking] : bookings_) {
        if (booking.removedFromSheet)
            removed.push_back(id);
    }
    std::sort(removed.begin(), removed.end());
    for (const BookingId &id : removed)
        endBooking(now, bookings_.at(id));
    // Restarts gangs that lost a task while there was no leader or under the previous one.
    for (const BookingSpec &spec : specs_) {
        if (spec.kind == Placement::WorkKind::Gang)
            gangMemberEnded(now, bookings_.at(spec.id));
    }
}

void ZoneScheduler::Private::adoptAssignments(const EventContext &now)
{
    std::vector<const ZoneState::TaskAssignment *> assignments;
    for (const auto &[id, tasks] : state_.tasks().assignments()) {
        for (const auto &[index, assignment] : tasks)
            assignments.push_back(&assignment);
    }
    std::sort(assignments.begin(), assignments.end(),
              [](const auto *left, const auto *right) { return left->task < right->task; });
    for (const ZoneState::TaskAssignment *assignment : assignments) {
        const auto [found, added] = bookings_.try_emplace(assignment->task.booking);
        BookingEntry &booking = found->second;
        if (added) {
            booking.removedFromSheet = true;
            booking.spec.id = assignment->task.booking;
            booking.spec.kind = assignment->gang ? Placement::WorkKind::Gang : Placement::WorkKind::Batch;
            booking.spec.resources = assignment->resources;
        }
        if (booking.tasks.size() <= assignment->task.index)
            booking.tasks.resize(assignment->task.index + 1);
        TaskEntry &entry = booking.tasks[assignment->task.index];
        const Slot slot = planner_->workers().slotOf(assignment->worker);
        leases_.track(now.time, slot);
        entry.phase = TaskPhase::Assigned;
        entry.delivery = Delivery::Unknown;
        entry.slot = slot;
        entry.incarnation = assignment->incarnation;
        entry.assignedAt
            = now.time - std::chrono::milliseconds(std::max<std::int64_t>(now.unixMs - assignment->assignedUnixMs, 0));
        entry.readyAt = entry.assignedAt;
        auto work = std::make_shared<Placement::Work>(*workOf(booking.spec));
        work->resources = assignment->resources;
        entry.work = std::move(work);
        const ZoneState::TaskPast *past = state_.tasks().past(assignment->task);
        planner_->adopt(slot, *entry.work, assignment->task, past == nullptr ? 0 : past->displacements,
                        entry.assignedAt);
        worker(slot).tasks.insert(assignment->task);
    }
}

void ZoneScheduler::Private::flush(const EventContext &now)
{
    lastUnixMs_ = now.unixMs;
    if (!mayDecide(now))
        return;
    runWallClockTimers(now);
    requeueDelayedTasks(now);
    retryGangStarts(now);
    endTasksOfExpiredLeases(now);
    checkUnhealthyWorkers(now);
    checkStopDeadlines(now);
    stopTasksAboveMemory(now);
    if (now.time >= planningStart_)
        plan(now);
    flushEnds(now);
    answerDueSyncs(now);
    removeOldHistory(now);
}

std::vector<WorkerView> ZoneScheduler::Private::workerViews() const
{
    std::vector<WorkerView> views;
    if (!planner_)
        return views;
    for (Slot slot = 0; slot < planner_->workers().size(); ++slot) {
        const Placement::WorkerEntry &entry = planner_->workers().at(slot);
        if (!entry.known && entry.tasks.empty())
            continue;
        WorkerView view;
        view.worker = entry.id;
        view.rack = entry.rack;
        view.capacity = entry.capacity;
        view.allocated = entry.allocated;
        for (const Placement::PlacedTask &placed : entry.tasks) {
            const auto booking = bookings_.find(placed.task.booking);
            if (booking != bookings_.end() && placed.task.index < booking->second.tasks.size())
                view.usage += booking->second.tasks[placed.task.index].usage.peak();
        }
        view.tasks = static_cast<std::uint32_t>(entry.tasks.size());
        view.leaving = slot < workers_.size() && workers_[slot].leaving;
        view.draining = state_.isDraining(entry.id);
        view.quarantined = unhealthy_.contains(slot);
        view.lastSync = leases_.lastSync(slot);
        views.push_back(std::move(view));
    }
    std::sort(views.begin(), views.end(),
              [](const auto &left, const auto &right) { return left.worker < right.worker; });
    return views;
}

ZoneScheduler::Private::Worker &ZoneScheduler::Private::worker(Slot slot)
{
    if (slot >= workers_.size())
        workers_.resize(slot + 1);
    return workers_[slot];
}

Wire::ZoneCommand &ZoneScheduler::Private::propose(const EventContext &now)
{
    Wire::ZoneCommand &command = commands_.proposals.emplace_back();
    command.set_proposed_unix_ms(now.unixMs);
    return command;
}

} // namespace Pistachio::Scheduler
