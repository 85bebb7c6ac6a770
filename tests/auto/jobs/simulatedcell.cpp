#include "simulatedcell.h"

#include "jobs/demand.h"

#include <algorithm>
#include <utility>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

constexpr Duration networkDelay = 5ms;
constexpr Duration usualCommitDelay = 20ms;
constexpr Duration step = 10ms;
constexpr Duration tickInterval = 20ms;
constexpr Duration reportInterval = 1500ms;
constexpr Duration orderTimeout = 700ms;
constexpr std::int64_t startUnixMs = 1'000'000;
const std::string highPriorityKey = "host/queue/";
const std::string lowPriorityKey = "host/later/"; ///< its work may be preempted
const std::string advisedKey = "host/advised/";
constexpr Duration ticketValidity = 1500ms;

} // namespace

SimulatedCell::SimulatedCell(std::uint64_t seed, const SchedulerSettings &settings)
    : commitDelay(usualCommitDelay)
    , settings_(settings)
    , now_(std::chrono::hours(1))
    , random_(seed)
    , nextReport_(now_ + reportInterval)
    , store_(std::make_unique<JobStore>())
{
    configure("service");
    createScheduler();
    scheduler_->becomeLeader(now(), term_);
}

SimulatedCell::~SimulatedCell() = default;

EventTime SimulatedCell::now() const
{
    return {now_, startUnixMs + now_.time_since_epoch() / 1ms};
}

SimulatedMinion &SimulatedCell::addMinion(const std::string &id, std::int64_t milliCores, Duration runTime,
                                          double clockRate)
{
    MinionReport report;
    report.incarnation = {id, 1};
    report.address = id + ":1";
    report.service = "service";
    report.milliCores = milliCores;
    report.memoryMb = 1000;
    report.sequence = 1;
    report.labels = labels;
    auto &minion = minions[id] = std::make_unique<SimulatedMinion>(report, runTime, clockRate);
    this->report(*minion);
    return *minion;
}

void SimulatedCell::report(const SimulatedMinion &minion)
{
    if (hasLeader_)
        scheduler_->minionReported(now(), minion.report, [](bool) {});
}

void SimulatedCell::submit(const std::string &id, std::uint32_t tasks, std::int64_t milliCores,
                           const std::function<void(Wire::JobStep &)> &adjust)
{
    Wire::JobSpec spec;
    auto &item = *spec.add_steps();
    item.set_tasks(tasks);
    item.set_milli_cores(milliCores);
    item.set_estimate_ms(1000);
    if (adjust)
        adjust(item);
    submit(id, spec);
}

void SimulatedCell::submit(const std::string &id, const Wire::JobSpec &spec, Queue queue)
{
    Wire::JobCommand command;
    command.mutable_submission()->set_id(id);
    command.mutable_submission()->set_queue(queue == Queue::HighPriority  ? highPriorityKey
                                                : queue == Queue::Advised ? advisedKey
                                                                          : lowPriorityKey);
    *command.mutable_submission()->mutable_spec() = spec;
    command.mutable_submission()->set_team(team);
    command.mutable_submission()->set_accepted_unix_ms(now().unixMs);
    commit(command);
}

void SimulatedCell::configureTeams(const std::vector<Wire::JobTeam> &teams)
{
    teams_ = teams;
    for (const auto &item : teams_) {
        const auto number = static_cast<TeamNumber>(&item - teams_.data() + 1);
        allowedMilliCores_[item.name()]
            = std::max(item.cap().milli_cores(), scheduler_->teamUsage().held(number).milliCores);
    }
    configure("service");
}

std::int64_t SimulatedCell::milliCoresOf(const std::string &owner) const
{
    std::int64_t sum = 0;
    for (const auto &[id, minion] : minions) {
        for (const auto &[task, work] : minion->runs) {
            const auto *job = store_->job(task.step.job);
            if (job && job->submission().team() == owner)
                sum += job->spec(task.step.step).milli_cores();
        }
    }
    return sum;
}

void SimulatedCell::checkCaps()
{
    for (std::size_t index = 0; index < teams_.size(); ++index) {
        const auto &name = teams_[index].name();
        const auto cap = teams_[index].cap().milli_cores();
        const auto held = scheduler_->teamUsage().held(static_cast<TeamNumber>(index + 1)).milliCores;
        auto &allowed = allowedMilliCores_[name];
        if (hasLeader_)
            allowed = std::max(cap, std::min(allowed, held));
        const auto running = milliCoresOf(name);
        const auto before = std::exchange(lastMilliCores_[name], running);
        if (cap > 0 && running > allowed && running > before)
            violations.push_back(name + " exceeds its cap");
    }
}

void SimulatedCell::cancel(const std::string &id)
{
    Wire::JobCommand command;
    command.set_cancelled_job(id);
    commit(command);
}

void SimulatedCell::run(Duration span)
{
    const auto end = now_ + span;
    auto nextTick = now_;
    while (now_ < end) {
        now_ += step;
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
        for (const auto &[id, minion] : minions)
            minion->tick(now_);
        if (now_ >= nextReport_ && now_ >= frozenUntil_) {
            nextReport_ = now_ + reportInterval;
            for (const auto &[id, minion] : minions) {
                ++minion->report.sequence;
                if (!minion->isCut)
                    report(*minion);
            }
        }
        if (now_ >= nextTick && now_ >= frozenUntil_) {
            nextTick = now_ + tickInterval;
            scheduler_->tick(now());
        }
        checkInvariants();
        checkCaps();
    }
}

void SimulatedCell::checkInvariants()
{
    std::map<TaskName, int> running;
    for (const auto &[id, minion] : minions) {
        std::int64_t used = 0;
        for (const auto &[task, work] : minion->runs) {
            ++running[task];
            const auto *job = store_->job(task.step.job);
            // Cores that are used without a reservation don't count.
            used += job ? reservedBy(job->spec(task.step.step)).milliCores : 0;
        }
        if (used > minion->report.milliCores)
            violations.push_back(id + " exceeds its capacity");
    }
    for (const auto &[task, count] : running) {
        const auto *job = store_->job(task.step.job);
        const int allowed = job && Job::allowsCopies(job->spec(task.step.step)) ? 2 : 1;
        if (count > allowed)
            violations.push_back(task.toString() + (allowed == 1 ? " runs twice" : " runs thrice")
                                 + " at the same time");
    }
}

JobPhase SimulatedCell::phase(const std::string &id) const
{
    return store_->job(id)->phase();
}

const Job &SimulatedCell::job(const std::string &id) const
{
    return *store_->job(id);
}

const CopyCounts &SimulatedCell::copyCounts() const
{
    return scheduler_->copyCounts();
}

std::uint32_t SimulatedCell::pending() const
{
    return scheduler_->pendingJobs(highPriorityKey);
}

std::string SimulatedCell::firstMinionRunning(const std::string &job) const
{
    const auto all = minionsRunning(job);
    return all.empty() ? std::string() : all.front();
}

SimulatedMinion *SimulatedCell::minionRunning(const TaskName &task) const
{
    for (const auto &[id, minion] : minions) {
        if (minion->runs.contains(task))
            return minion.get();
    }
    return nullptr;
}

std::vector<std::string> SimulatedCell::minionsRunning(const std::string &job) const
{
    std::vector<std::string> result;
    for (const auto &[id, minion] : minions) {
        for (const auto &[task, work] : minion->runs) {
            if (task.step.job == job)
                result.push_back(id);
        }
    }
    return result;
}

void SimulatedCell::schedule(Duration delay, std::function<void()> function)
{
    events_.emplace(now_ + delay, std::move(function));
}

void SimulatedCell::scheduleForLeader(Duration delay, std::function<void()> function)
{
    schedule(delay, [this, function = std::move(function), process = process_] {
        if (now_ < frozenUntil_)
            schedule(frozenUntil_ - now_, function);
        else if (process == process_)
            function();
    });
}

void SimulatedCell::freezeLeader(Duration span)
{
    frozenUntil_ = now_ + span;
    run(span);
}

void SimulatedCell::logDecision(Logging::LogLevel /*level*/, std::string_view event,
                                std::initializer_list<Logging::LogField> /*fields*/)
{
    ++eventCounts[std::string(event)];
}

SimulatedMinion *SimulatedCell::reachableMinion(const std::string &address)
{
    auto *minion = minionAt(address);
    return minion && !minion->isCut ? minion : nullptr;
}

SimulatedMinion *SimulatedCell::minionAt(const std::string &address)
{
    const auto found = std::ranges::find_if(
        minions, [&address](const auto &entry) { return entry.second->report.address == address; });
    return found == minions.end() ? nullptr : found->second.get();
}

bool SimulatedCell::chance(std::uint64_t percent)
{
    return random_.below(100) < percent;
}

void SimulatedCell::propose(Wire::JobCommand command, std::function<void(bool applied)> ended)
{
    const bool failed = failedProposals > 0 && chance(failedProposals);
    schedule(commitDelay, [this, command = std::move(command), ended = std::move(ended), term = term_, failed] {
        const bool isLeaders = term == term_ && hasLeader_;
        if (failed && isLeaders)
            scheduler_->proposalFailed(now(), command);
        // Uncommitted entries of an earlier leader are lost.
        else if (!failed && (isLeaders || term == committedTerm_))
            commit(command);
        if (ended && isLeaders)
            ended(!failed);
    });
}

bool SimulatedCell::hasConnection(std::function<void()> failed)
{
    if (!hasConnections)
        scheduleForLeader(Duration::zero(), std::move(failed));
    return hasConnections;
}

void SimulatedCell::start(const StartOrder &order)
{
    ++starts;
    const OrderAnswer notSent{OrderOutcome::NotSent, std::nullopt};
    if (!hasConnection([this, order, notSent] { scheduler_->startAnswered(now(), order, notSent); }))
        return;
    startLog.push_back(std::to_string(now_.time_since_epoch() / 1ms) + ' ' + order.task.toString() + " run "
                       + std::to_string(order.run) + " on " + order.minion.id);
    if (const auto fault = startFault ? startFault(order) : std::nullopt) {
        OrderAnswer answer{*fault, std::nullopt};
        answer.mayReachLaterIncarnation = *fault == OrderOutcome::Unanswered;
        scheduleForLeader(*fault == OrderOutcome::Unanswered ? orderTimeout : 2 * networkDelay,
                          [this, order, answer] { scheduler_->startAnswered(now(), order, answer); });
        return;
    }
    const bool late = chance(lateOrders);
    const bool lost = chance(lostAnswers);
    if (late || lost)
        scheduleForLeader(orderTimeout, [this, order] { scheduler_->startAnswered(now(), order, {}); });
    schedule(late ? Duration(2s + std::chrono::milliseconds(random_.below(10'000))) : networkDelay,
             [this, order, late, lost] {
                 auto *minion = late ? minionAt(order.address) : reachableMinion(order.address);
                 if (!minion) {
                     if (!late && !lost)
                         scheduleForLeader(orderTimeout,
                                           [this, order] { scheduler_->startAnswered(now(), order, {}); });
                     return;
                 }
                 const bool isTicketExpired
                     = !order.ticket.empty() && std::stoll(order.ticket) < now_.time_since_epoch() / 1ms;
                 auto answer = isTicketExpired ? OrderAnswer{OrderOutcome::TicketRejected, std::nullopt}
                                               : minion->start(now_, order);
                 // Connections end with the incarnation that accepted them.
                 answer.mayReachLaterIncarnation = minion->report.incarnation != order.minion;
                 if (!late && !lost)
                     scheduleForLeader(networkDelay,
                                       [this, order, answer] { scheduler_->startAnswered(now(), order, answer); });
             });
}

void SimulatedCell::stop(const StopOrder &order)
{
    ++stops;
    const OrderAnswer notSent{OrderOutcome::NotSent, std::nullopt};
    if (!hasConnection([this, order, notSent] { scheduler_->stopAnswered(now(), order, notSent); }))
        return;
    const bool lost = chance(lostAnswers);
    if (lost)
        scheduleForLeader(orderTimeout, [this, order] { scheduler_->stopAnswered(now(), order, {}); });
    schedule(networkDelay, [this, order, lost] {
        auto *minion = reachableMinion(order.address);
        if (!minion) {
            if (!lost)
                scheduleForLeader(orderTimeout, [this, order] { scheduler_->stopAnswered(now(), order, {}); });
            return;
        }
        const auto answer = minion->stop(now_, order);
        if (!lost)
            scheduleForLeader(networkDelay, [this, order, answer] { scheduler_->stopAnswered(now(), order, answer); });
    });
}

void SimulatedCell::renewLease(const LeaseOrder &order)
{
    ++renewals;
    LeaseAnswer notSent;
    notSent.outcome = OrderOutcome::NotSent;
    if (!hasConnection([this, order, notSent] { scheduler_->leaseAnswered(now(), order, notSent); }))
        return;
    const auto timeout = order.wait + orderTimeout;
    if (const auto delay = renewalDelay ? renewalDelay(order) : std::nullopt) {
        scheduleForLeader(timeout, [this, order] { scheduler_->leaseAnswered(now(), order, {}); });
        schedule(*delay, [this, order] {
            if (auto *minion = minionAt(order.address))
                minion->renewLease(now_, order, [](const LeaseAnswer & /*answer*/) {});
        });
        return;
    }
    const bool lost = chance(lostAnswers);
    if (lost)
        scheduleForLeader(timeout, [this, order] { scheduler_->leaseAnswered(now(), order, {}); });
    schedule(networkDelay, [this, order, lost, timeout] {
        auto *minion = reachableMinion(order.address);
        if (!minion) {
            if (!lost)
                scheduleForLeader(timeout, [this, order] { scheduler_->leaseAnswered(now(), order, {}); });
            return;
        }
        minion->renewLease(now_, order, [this, order, lost](const LeaseAnswer &answer) {
            const bool isCut = !reachableMinion(order.address);
            if (lost)
                return;
            scheduleForLeader(isCut ? orderTimeout : networkDelay,
                              [this, order, answer = isCut ? LeaseAnswer() : answer] {
                                  scheduler_->leaseAnswered(now(), order, answer);
                              });
        });
    });
}

void SimulatedCell::throttle(const ThrottleOrder &order)
{
    scheduleForLeader(networkDelay, [this, order] {
        scheduler_->throttleAnswered(now(), order, {OrderOutcome::Done, std::nullopt});
    });
}

void SimulatedCell::askAdvice(const AdviceRequest &request)
{
    const auto validUntil = (now_ + ticketValidity).time_since_epoch() / 1ms;
    std::vector<ApprovedMinion> approved;
    for (const auto &minion : request.minions)
        approved.push_back({minion, std::to_string(validUntil)});
    scheduleForLeader(networkDelay, [this, request, approved, answered = answersAdvice] {
        scheduler_->adviceAnswered(now(), request, answered, answered ? approved : std::vector<ApprovedMinion>());
    });
}
