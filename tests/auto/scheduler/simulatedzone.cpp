#include "simulatedzone.h"

#include "wire/convert.h"

#include <algorithm>
#include <set>

namespace Pistachio
{

namespace
{
constexpr std::int64_t unixStartMs = 1'800'000'000'000;
constexpr Duration agentTick = 100ms;
constexpr Duration syncTimeout = 6s;
} // namespace

SimulatedZone::SimulatedZone(const Options &options)
    : options_(options)
    , random_(options.seed)
{
    configuration.set_packing_weight_percent(50);
    scheduler_ = std::make_unique<Scheduler::ZoneScheduler>("zone", state_, options.seed);
    scheduler_->leadershipChanged(eventContext(), term_, true);
    for (std::uint32_t i = 0; i < options.workers; ++i) {
        Host &host = hosts_.emplace_back();
        host.name = "w" + std::to_string(i);
        host.rack = "r" + std::to_string(i / 2);
        host.agent = std::make_unique<Scheduler::WorkerAgent>(WorkerId(host.name), "1", host.rack, options.capacity);
        schedule(now_ + std::chrono::milliseconds(i), [this, i] { tickHost(i); });
    }
    schedule(now_, [this] { publish(); });
}

Wire::Booking &SimulatedZone::book(const std::string &id, Wire::WorkKind kind, std::uint32_t tasks, std::int64_t cores,
                                   Wire::Standing standing)
{
    Wire::Booking &booking = bookings_.emplace_back();
    booking.set_id(id);
    booking.set_team("team");
    booking.set_kind(kind);
    booking.set_tasks(tasks);
    booking.mutable_resources()->set_milli_cores(cores);
    booking.mutable_resources()->set_memory_bytes(1LL << 30);
    booking.set_standing(standing);
    booking.set_zone("zone");
    booking.set_grace_seconds(1);
    return booking;
}

void SimulatedZone::cancel(const std::string &id)
{
    std::erase_if(bookings_, [&](const Wire::Booking &booking) { return booking.id() == id; });
    publish();
}

void SimulatedZone::publish()
{
    published_ = bookings_;
    scheduler_->bookingsChanged(eventContext(), published_, configuration);
    processCommands();
}

void SimulatedZone::advance(Duration duration)
{
    const TimePoint end = now_ + duration;
    constexpr Duration schedulerTick = 50ms;
    TimePoint nextTick = now_;
    while (true) {
        const TimePoint next = events_.empty() ? nextTick : std::min(nextTick, events_.begin()->first);
        if (next > end)
            break;
        now_ = std::max(now_, next);
        if (!events_.empty() && events_.begin()->first <= next) {
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        } else {
            nextTick = now_ + schedulerTick;
            scheduler_->tick(eventContext());
        }
        processCommands();
        checkInvariants();
    }
    now_ = end;
}

void SimulatedZone::partition(std::size_t worker, Duration duration)
{
    hosts_.at(worker).partitionedUntil = now_ + duration;
}

void SimulatedZone::restartWorker(std::size_t worker)
{
    Host &host = hosts_.at(worker);
    host.outstanding = false;
    host.agent = std::make_unique<Scheduler::WorkerAgent>(WorkerId(host.name), std::to_string(++host.boot), host.rack,
                                                          options_.capacity);
}

void SimulatedZone::pauseWorker(std::size_t worker, Duration duration)
{
    hosts_.at(worker).pausedUntil = now_ + duration;
}

void SimulatedZone::changeLeader(Duration vacancy, bool keepProposals)
{
    if (!hasLeader_)
        return;
    hasLeader_ = false;
    const std::uint64_t oldTerm = term_;
    ++term_;
    scheduler_->leadershipChanged(eventContext(), oldTerm, false);
    scheduler_->takeCommands();
    // The old leader's instance rejects the outstanding syncs.
    for (Host &host : hosts_)
        host.outstanding = host.outstanding && now_ < host.partitionedUntil;
    schedule(now_ + vacancy, [this, oldTerm, keepProposals] {
        // Entries of the old term that reached a majority are applied before the new leader makes decisions.
        if (!keepProposals)
            lastDroppedTerm_ = oldTerm;
        scheduler_ = std::make_unique<Scheduler::ZoneScheduler>("zone", state_, options_.seed + term_);
        hasLeader_ = true;
        publish();
        scheduler_->leadershipChanged(eventContext(), term_, true);
    });
}

void SimulatedZone::loseLeaderLease(Duration duration)
{
    noLeaderLeaseUntil_ = now_ + duration;
}

void SimulatedZone::proposeDrain(std::size_t worker, bool draining)
{
    Wire::ZoneCommand command;
    command.mutable_set_drain()->set_worker(hosts_.at(worker).name);
    command.mutable_set_drain()->set_draining(draining);
    applyProposal(command, term_);
}

Scheduler::BookingState SimulatedZone::stateOf(const std::string &id) const
{
    return scheduler_->explain(BookingId(id)).state;
}

std::vector<std::string> SimulatedZone::runningOn(const std::string &booking) const
{
    std::vector<std::string> names;
    for (const Host &host : hosts_) {
        for (const auto &[id, task] : host.agent->tasks()) {
            if (id.booking.value() == booking && task.state == Scheduler::AgentTaskState::Running)
                names.push_back(host.name);
        }
    }
    return names;
}

std::size_t SimulatedZone::decisions(const std::string &action) const
{
    return static_cast<std::size_t>(std::count_if(decisions_.begin(), decisions_.end(),
                                                  [&](const auto &record) { return record.action == action; }));
}

Scheduler::EventContext SimulatedZone::eventContext() const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch() - 1000s);
    return {now_, unixStartMs + elapsed.count(), hasLeader_ && now_ >= noLeaderLeaseUntil_, now_};
}

TimePoint SimulatedZone::agentTime() const
{
    const double elapsed = static_cast<double>(now_.time_since_epoch().count()) * options_.agentClockRate;
    return TimePoint(Duration(static_cast<std::int64_t>(elapsed)));
}

void SimulatedZone::schedule(TimePoint time, std::function<void()> action)
{
    events_.emplace(time, std::move(action));
}

void SimulatedZone::send(std::size_t worker, std::function<void()> action)
{
    const auto delay
        = Duration(static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(maxDelay_.count()))));
    const bool lost = random_.fraction() < lossRate_ || now_ < hosts_[worker].partitionedUntil;
    if (!lost)
        schedule(now_ + delay, std::move(action));
}

void SimulatedZone::processCommands()
{
    Scheduler::Commands commands = scheduler_->takeCommands();
    decisions_.insert(decisions_.end(), commands.decisions.begin(), commands.decisions.end());
    for (const Wire::ZoneCommand &command : commands.proposals) {
        if (rejectProposals) {
            scheduler_->proposalRejected(eventContext(), command);
            continue;
        }
        // The same delay for all keeps the entries in order.
        schedule(now_ + 10ms, [this, command, term = term_] { applyProposal(command, term); });
    }
    for (const Scheduler::WorkerAnswer &answer : commands.answers) {
        const auto index = static_cast<std::size_t>(std::stoul(answer.worker.value().substr(1)));
        send(index, [this, index, orders = answer.orders] {
            Host &host = hosts_[index];
            if (now_ < host.pausedUntil) {
                schedule(host.pausedUntil, [this, index, orders] {
                    execute(index, hosts_[index].agent->tick(agentTime()));
                    execute(index, hosts_[index].agent->ordersReceived(agentTime(), orders));
                });
                return;
            }
            if (orders.answered_sequence() == host.sequence)
                host.outstanding = false;
            execute(index, host.agent->ordersReceived(agentTime(), orders));
        });
    }
}

void SimulatedZone::applyProposal(const Wire::ZoneCommand &command, std::uint64_t term)
{
    if (term <= lastDroppedTerm_)
        return;
    const Wire::ZoneResult result = state_.apply(command);
    endCommands += command.has_end_tasks() ? 1 : 0;
    if (hasLeader_)
        scheduler_->applied(eventContext(), command, result);
    processCommands();
}

void SimulatedZone::tickHost(std::size_t worker)
{
    Host &host = hosts_[worker];
    if (now_ < host.pausedUntil) {
        schedule(host.pausedUntil, [this, worker] { tickHost(worker); });
        return;
    }
    schedule(now_ + agentTick, [this, worker] { tickHost(worker); });
    execute(worker, host.agent->tick(agentTime()));
    for (const auto &[id, task] : host.agent->tasks()) {
        const auto use = memoryUse.find(id.booking.value());
        if (use != memoryUse.end() && task.state == Scheduler::AgentTaskState::Running)
            host.agent->usageMeasured(id, task.incarnation, {100, use->second, 0});
    }
    const bool timedOut = now_ - host.syncSent >= syncTimeout;
    if (host.outstanding && !timedOut && !host.agent->hasUnreportedChanges())
        return;
    const Wire::WorkerSync sync = host.agent->makeSync(agentTime());
    host.outstanding = true;
    host.syncSent = now_;
    host.sequence = sync.sequence();
    const int copies = lossRate_ > 0 && random_.below(5) == 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        send(worker, [this, worker, sync] {
            if (hasLeader_)
                scheduler_->workerSync(eventContext(), sync);
            else
                hosts_[worker].outstanding = false; // rejected, so the worker sends a new one
        });
    }
}

void SimulatedZone::execute(std::size_t worker, const std::vector<Scheduler::WorkerAction> &actions)
{
    using Kind = Scheduler::WorkerAction::Kind;
    for (const Scheduler::WorkerAction &action : actions) {
        const TaskId task = action.task;
        const std::uint64_t incarnation = action.incarnation;
        switch (action.kind) {
        case Kind::Prepare:
            schedule(now_ + Duration(random_.below(500'000)),
                     [this, worker, task, incarnation, boot = hosts_[worker].boot] {
                         if (hosts_[worker].boot == boot)
                             hosts_[worker].agent->taskPrepared(task, incarnation);
                     });
            break;
        case Kind::Run:
        case Kind::Start:
            startTask(worker, task, incarnation);
            break;
        case Kind::Stop:
            schedule(now_ + std::min<Duration>(action.grace, 300ms), [this, worker, task, incarnation] {
                endTask(worker, task, incarnation, Scheduler::AgentEnd::Stopped);
            });
            break;
        case Kind::Kill:
        case Kind::Throttle:
            break;
        }
    }
}

void SimulatedZone::startTask(std::size_t worker, const TaskId &task, std::uint64_t incarnation)
{
    const std::string &booking = task.booking.value();
    if ((fails && fails(hosts_[worker].name, booking)) || random_.fraction() < options_.failureRate) {
        schedule(now_ + 1s, [this, worker, task, incarnation] {
            endTask(worker, task, incarnation, Scheduler::AgentEnd::Failed);
        });
    } else if (const auto run = runTime.find(booking); run != runTime.end()) {
        schedule(now_ + run->second, [this, worker, task, incarnation] {
            endTask(worker, task, incarnation, Scheduler::AgentEnd::Completed);
        });
    }
}

void SimulatedZone::endTask(std::size_t worker, const TaskId &task, std::uint64_t incarnation, Scheduler::AgentEnd end)
{
    if (now_ < hosts_[worker].pausedUntil)
        schedule(hosts_[worker].pausedUntil + 1ms, [=, this] { endTask(worker, task, incarnation, end); });
    else
        hosts_[worker].agent->taskEnded(task, incarnation, end, {});
}

void SimulatedZone::addViolation(std::string text)
{
    constexpr std::size_t maxViolations = 5;
    if (violations_.size() < maxViolations)
        violations_.push_back(std::to_string(now_.time_since_epoch().count()) + " us: " + std::move(text));
}

void SimulatedZone::checkInvariants()
{
    std::set<TaskId> live;
    for (const Host &host : hosts_) {
        if (now_ < host.pausedUntil)
            continue; // its tasks are paused with it
        if (!host.agent->allocated().fitsIn(host.agent->capacity()))
            addViolation("I1: worker " + host.name + " allocates more than its capacity");
        for (const auto &[id, task] : host.agent->tasks()) {
            if (task.state != Scheduler::AgentTaskState::Ended && !live.insert(id).second)
                addViolation("I2: " + id.toString() + " is live on two workers");
        }
    }
    checkGangs();
    std::map<std::string, Resources> used;
    for (const Wire::Booking &booking : published_) {
        Resources &sum = used[booking.team()];
        for (const auto &[index, task] : state_.tasks().assignmentsOf(BookingId(booking.id())))
            sum += task.resources;
        if (!hasLeader_ || !scheduler_->isLeader())
            continue;
        const Scheduler::Explanation explanation = scheduler_->explain(BookingId(booking.id()));
        const bool counted = explanation.assigned + explanation.completed + explanation.waiting == booking.tasks();
        if (explanation.state == Scheduler::BookingState::Unknown)
            addViolation("booking " + booking.id() + " has no state");
        if (explanation.state != Scheduler::BookingState::Ended && explanation.state != Scheduler::BookingState::Ending
            && !counted)
            addViolation("the task counts of booking " + booking.id() + " do not add up to its tasks");
    }
    for (const Wire::TeamQuota &quota : configuration.quotas()) {
        if (!used[quota.team()].fitsIn(Wire::toCore(quota.limit())))
            addViolation("team " + quota.team() + " exceeds its quota");
    }
}

void SimulatedZone::checkGangs()
{
    for (const auto &[id, tasks] : state_.tasks().assignments()) {
        const auto started
            = std::count_if(tasks.begin(), tasks.end(), [](const auto &task) { return task.second.started; });
        const bool gang = tasks.begin()->second.gang;
        if (gang && started != 0 && started != static_cast<std::ptrdiff_t>(tasks.size()))
            addViolation("gang " + id.value() + " is only partly started");
    }
    for (const Host &host : hosts_) {
        for (const auto &[id, task] : host.agent->tasks()) {
            const ZoneState::TaskAssignment *assignment = state_.tasks().assignment(id);
            const bool current = assignment != nullptr && assignment->incarnation == task.incarnation;
            if (current && assignment->gang && !assignment->started && task.state == Scheduler::AgentTaskState::Running)
                addViolation("gang task " + id.toString() + " runs before the common start");
        }
    }
}

} // namespace Pistachio
