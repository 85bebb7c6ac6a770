#include "cellreplay.h"

#include "wire/convert.h"

#include <algorithm>

namespace Pistachio::Replay
{

namespace
{
constexpr Duration tickInterval = 100ms;
constexpr Duration commitDelay = 5ms; // replication to a majority within the region
constexpr Duration messageDelay = 2ms;
constexpr Duration prepareDuration = 500ms;
constexpr Duration checkpointDuration = 1s;
constexpr std::int64_t unixStartMs = 1'800'000'000'000;
} // namespace

CellReplay::CellReplay(const Workload &workload, std::function<void(bool)> schedulerCallHook)
    : workload_(workload)
    , schedulerCallHook_(std::move(schedulerCallHook))
    , measurements_(workload)
    , scheduler_("zone", state_, 1)
{
    configuration_.set_packing_weight_percent(workload.packingPercent);
    for (const WorkerSpec &worker : workload.workers) {
        const std::size_t number = hosts_.size();
        hostNumbers_[worker.id] = number;
        Host &host = hosts_.emplace_back();
        host.agent = std::make_unique<Scheduler::WorkerAgent>(WorkerId(worker.id), "1", worker.rack, worker.capacity);
        scheduleAt(std::chrono::milliseconds(number % 100), [this, number] { sendSync(number); });
    }
    callScheduler([this] { scheduler_.leadershipChanged(eventContext(), 1, true); });
    if (workload.rackLoss > Duration::zero())
        scheduleAt(workload.rackLoss, [this] { loseRack(); });
}

Scheduler::EventContext CellReplay::eventContext() const
{
    return {TimePoint(1000s + now_), unixStartMs + now_.count() / 1000, true, TimePoint(1000s + now_)};
}

void CellReplay::scheduleAt(Duration time, std::function<void()> action)
{
    events_.push({time, ++sequence_, std::move(action)});
}

template<class Call> void CellReplay::callScheduler(Call call)
{
    schedulerCallHook_(true);
    call();
    Scheduler::Commands commands = scheduler_.takeCommands();
    schedulerCallHook_(false);
    for (const Scheduler::DecisionRecord &record : commands.decisions) {
        measurements_.decisions += record.action == "assign" ? 1 : 0;
        measurements_.displacements += record.action == "displace" ? 1 : 0;
        measurements_.quarantines += record.action == "quarantine" ? 1 : 0;
    }
    for (Wire::ZoneCommand &command : commands.proposals)
        scheduleAt(now_ + commitDelay, [this, command = std::move(command)] { apply(command); });
    for (Scheduler::WorkerAnswer &answer : commands.answers) {
        const std::size_t number = hostNumbers_.at(answer.worker.value());
        scheduleAt(now_ + messageDelay, [this, number, orders = std::move(answer.orders)] {
            Host &host = hosts_[number];
            if (host.lost)
                return;
            if (orders.answered_sequence() == host.lastSyncSequence)
                host.syncOutstanding = false;
            executeActions(number, host.agent->ordersReceived(eventContext().time, orders));
            if (!host.syncOutstanding)
                sendSync(number);
        });
    }
}

Measurements CellReplay::run()
{
    Duration nextTick{};
    while (now_ < workload_.length) {
        const bool eventDue = !events_.empty() && events_.top().time <= nextTick;
        now_ = eventDue ? events_.top().time : nextTick;
        if (eventDue) {
            const auto action = events_.top().action;
            events_.pop();
            action();
            continue;
        }
        nextTick += tickInterval;
        if (nextJob_ < workload_.jobs.size() && workload_.jobs[nextJob_].arrival <= now_)
            submitArrivedJobs();
        callScheduler([this] { scheduler_.tick(eventContext()); });
    }
    measurements_.finish(now_);
    for (const auto &[task, since] : waitingSince_) {
        const Job &job = *jobs_.at(task.booking.value());
        measurements_.recordWaitAtEnd(job, now_ - since);
        if (job.kind == Placement::WorkKind::Gang && task.index == 0)
            ++measurements_.gangsWaiting;
    }
    return measurements_;
}

void CellReplay::submitArrivedJobs()
{
    for (; nextJob_ < workload_.jobs.size() && workload_.jobs[nextJob_].arrival <= now_; ++nextJob_) {
        const Job &job = workload_.jobs[nextJob_];
        jobs_[job.id] = &job;
        demand_ += job.resources.times(job.tasks);
        Wire::Booking booking;
        booking.set_id(job.id);
        booking.set_team(job.team);
        booking.set_kind(static_cast<Wire::WorkKind>(static_cast<int>(job.kind) + 1));
        booking.set_standing(static_cast<Wire::Standing>(static_cast<int>(job.standing) + 1));
        booking.set_tasks(job.tasks);
        Wire::fill(*booking.mutable_resources(), job.resources);
        booking.set_checkpoint(job.checkpoint);
        booking.set_run_seconds(std::chrono::duration_cast<std::chrono::seconds>(job.declaredRun).count());
        booking.set_grace_seconds(5);
        booking.set_zone("zone");
        bookings_[job.id] = std::move(booking);
        for (std::uint32_t index = 0; index < job.tasks; ++index)
            waitingSince_[{BookingId(job.id), index}] = now_;
    }
    std::vector<Wire::Booking> all;
    all.reserve(bookings_.size());
    for (const auto &[id, booking] : bookings_)
        all.push_back(booking);
    callScheduler([&] { scheduler_.bookingsChanged(eventContext(), all, configuration_); });
}

void CellReplay::sendSync(std::size_t number)
{
    Host &host = hosts_[number];
    if (host.lost)
        return;
    const Wire::WorkerSync message = host.agent->makeSync(eventContext().time);
    host.lastSyncSequence = message.sequence();
    host.syncOutstanding = true;
    scheduleAt(now_ + messageDelay,
               [this, message] { callScheduler([&] { scheduler_.workerSync(eventContext(), message); }); });
}

void CellReplay::executeActions(std::size_t number, const std::vector<Scheduler::WorkerAction> &actions)
{
    using Kind = Scheduler::WorkerAction::Kind;
    const auto syncIfChanged = [this, number] {
        if (hosts_[number].agent->hasUnreportedChanges())
            sendSync(number);
    };
    for (const Scheduler::WorkerAction &action : actions) {
        const TaskId task = action.task;
        const std::uint64_t incarnation = action.incarnation;
        if (action.kind == Kind::Prepare) {
            scheduleAt(now_ + prepareDuration, [this, number, task, incarnation, syncIfChanged] {
                hosts_[number].agent->taskPrepared(task, incarnation);
                syncIfChanged();
            });
        } else if (action.kind == Kind::Run || action.kind == Kind::Start) {
            taskStarted(number, task, incarnation);
        } else if (action.kind == Kind::Stop) {
            scheduleAt(now_ + checkpointDuration, [this, number, task, incarnation, syncIfChanged] {
                const auto start = startedAt_.find(task);
                if (start != startedAt_.end() && remaining_.contains(task))
                    remaining_[task] -= now_ - start->second;
                hosts_[number].agent->taskEnded(task, incarnation, Scheduler::AgentEnd::Stopped, {});
                syncIfChanged();
            });
        }
    }
}

void CellReplay::taskStarted(std::size_t number, const TaskId &task, std::uint64_t incarnation)
{
    const Job &job = *jobs_.at(task.booking.value());
    if (const auto waiting = waitingSince_.find(task); waiting != waitingSince_.end()) {
        measurements_.recordWait(job, now_ - waiting->second);
        waitingSince_.erase(waiting);
    }
    if (job.runs.empty())
        return;
    startedAt_[task] = now_;
    const Duration run = std::max<Duration>(remaining_.try_emplace(task, job.runs[task.index]).first->second, 1s);
    scheduleAt(now_ + run, [this, number, task, incarnation] {
        Host &host = hosts_[number];
        const auto found = host.agent->tasks().find(task);
        const bool runs = !host.lost && found != host.agent->tasks().end() && found->second.incarnation == incarnation
            && found->second.state == Scheduler::AgentTaskState::Running;
        if (!runs)
            return;
        host.agent->taskEnded(task, incarnation, Scheduler::AgentEnd::Completed, {});
        sendSync(number);
    });
}

void CellReplay::apply(const Wire::ZoneCommand &command)
{
    std::vector<std::pair<TaskId, Resources>> ending;
    for (const Wire::TaskEnd &end : command.end_tasks().ends()) {
        const TaskId task = Wire::toCore(end.task());
        if (const ZoneState::TaskAssignment *assignment = state_.tasks().assignment(task))
            ending.emplace_back(task, assignment->resources);
    }
    const Wire::ZoneResult result = state_.apply(command);
    for (const auto &[task, resources] : ending) {
        allocated_ -= resources;
        const ZoneState::TaskPast &past = *state_.tasks().past(task);
        const std::string &id = task.booking.value();
        if (past.completed) {
            demand_ -= resources;
            startedAt_.erase(task);
            remaining_.erase(task);
            if (++completed_[id] == jobs_.at(id)->tasks)
                bookings_.erase(id);
        } else {
            waitingSince_.try_emplace(task, now_);
        }
    }
    if (result.code() == Wire::ZONE_RESULT_ACCEPTED) {
        for (const Wire::Assignment &assignment : command.assign_tasks().assignments())
            allocated_ += Wire::toCore(assignment.resources());
    }
    measurements_.recordAllocation(now_, allocated_, demand_);
    callScheduler([&] { scheduler_.applied(eventContext(), command, result); });
}

void CellReplay::loseRack()
{
    for (const WorkerSpec &worker : workload_.workers) {
        if (worker.rack == workload_.lostRack)
            hosts_[hostNumbers_.at(worker.id)].lost = true;
    }
}

} // namespace Pistachio::Replay
