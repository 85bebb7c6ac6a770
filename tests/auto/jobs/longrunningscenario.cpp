#include "longrunningscenario.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

const std::string service = "0000000000000001";
const std::string afterwards = "00000000000000ff";
constexpr Duration maxIdle = 6s; ///< a long-running task that fits runs again by then
constexpr Duration slice = 50ms;
constexpr Duration fillerTime = 2s;
constexpr std::size_t fillers = 8; ///< running at a time; with the service they use more than half of the cell

std::string fillerId(std::size_t number)
{
    return "00000000000" + std::to_string(10'000 + number);
}

} // namespace

LongRunningScenario::LongRunningScenario(RunEnding end, NearbyEvent event, std::uint64_t seed)
    : end_(end)
    , event_(event)
    , random_(seed * 1000 + static_cast<std::uint64_t>(end) * 50 + static_cast<std::uint64_t>(event))
    , cell_(seed)
    , isCrowded_(seed % 2 == 0)
    , isGang_(seed % 4 == 3)
    , task_{{service, 0, 0}, 0}
{
}

std::string LongRunningScenario::run()
{
    for (const auto *id : {"a", "b", "c", "d"})
        cell_.addMinion(id, 4000, fillerTime, 0.98 + 0.02 * random_.fraction());
    cell_.answersAdvice = true;
    Wire::JobSpec spec;
    auto &step = *spec.add_steps();
    step.set_tasks(2);
    step.set_milli_cores(1000);
    step.set_estimate_ms(1000);
    step.set_long_running(true);
    step.set_gang(isGang_);
    const bool isAdvised = end_ == RunEnding::NoAdvice || end_ == RunEnding::RefusedTicket;
    cell_.submit(service, spec, isAdvised ? SimulatedCell::Queue::Advised : SimulatedCell::Queue::HighPriority);
    advance(3s);
    endAt_ = cell_.now().time + 60ms;
    eventAt_ = cell_.now().time + std::chrono::milliseconds(random_.below(250));
    calmSince_ = std::max(endAt_, eventAt_);
    const auto until = calmSince_ + 12s + (event_ == NearbyEvent::LongVacancy ? 20s : 0s);
    while (cell_.now().time < until && failure_.empty())
        advance(slice);
    return failure_.empty() ? checkEndState() : failure_;
}

void LongRunningScenario::advance(Duration span)
{
    for (const auto end = cell_.now().time + span; cell_.now().time < end;) {
        addFillers();
        const auto now = cell_.now().time;
        if (endAt_ != TimePoint{} && now >= endAt_ && !std::exchange(hasEnded_, true))
            endRun();
        if (endAt_ != TimePoint{} && now >= eventAt_ && !std::exchange(hasHappened_, true))
            beginEvent();
        if (eventEnd_ != TimePoint{} && cell_.now().time >= eventEnd_)
            finishEvent();
        cell_.run(10ms);
        checkTasks();
    }
}

void LongRunningScenario::addFillers()
{
    std::size_t running = 0;
    for (const auto &[id, minion] : cell_.minions) {
        for (auto &[task, work] : minion->runs) {
            if (task.step.job != service)
                ++running;
            else if (work.how == RunEnd::Done)
                work.endsAt = cell_.now().time + 1h;
        }
    }
    const auto wanted = isCrowded_ ? std::size_t{30} : fillers;
    if (hasFillers_ && cell_.pending() + running < wanted && !cell_.isWithoutLeader())
        cell_.submit(fillerId(++lastFiller_), 1, 1000,
                     [](Wire::JobStep &step) { step.set_estimate_ms(fillerTime / 1ms); });
}

void LongRunningScenario::endRun()
{
    auto *minion = cell_.minionRunning(task_);
    if (!minion)
        return;
    const auto endAs = [&](RunEnd how) {
        minion->runs.at(task_).how = how;
        minion->runs.at(task_).endsAt = cell_.now().time;
    };
    switch (end_) {
    case RunEnding::Failed:
        return endAs(RunEnd::Failed);
    case RunEnding::Stopped:
        return endAs(RunEnd::Stopped);
    case RunEnding::Lapsed:
        return endAs(RunEnd::LeaseExpired);
    case RunEnding::Broken:
        return endAs(RunEnd::GangMemberEnded);
    case RunEnding::Alone:
        return endAs(RunEnd::GangIncomplete);
    case RunEnding::Reborn:
        return minion->restart(cell_.now().time);
    case RunEnding::Destroyed:
        return cell_.destroy(*minion);
    case RunEnding::Left:
        minion->report.draining = true;
        ++minion->report.sequence;
        cell_.report(*minion);
        return cell_.leave(*minion);
    case RunEnding::AddressTaken:
        return takeAddress(*minion);
    case RunEnding::Cut:
        minion->isCut = true;
        return;
    case RunEnding::Forgotten:
        minion->runs.erase(task_);
        return;
    case RunEnding::FailsRepeatedly:
        failUntil_ = cell_.now().time + 4s;
        return;
    default:
        disturbStarts();
        return endAs(RunEnd::Done);
    }
}

void LongRunningScenario::takeAddress(SimulatedMinion &minion)
{
    auto report = minion.report;
    cell_.destroy(minion);
    report.incarnation = {"x", 2};
    report.service = "other";
    auto &other = cell_.minions["x"] = std::make_unique<SimulatedMinion>(report, fillerTime, 1);
    cell_.report(*other);
}

void LongRunningScenario::disturbStarts()
{
    const auto outcome = [this]() -> std::optional<OrderOutcome> {
        switch (end_) {
        case RunEnding::RefusedFence:
            return OrderOutcome::StaleFencingToken;
        case RunEnding::RefusedOld:
            return OrderOutcome::StaleRun;
        case RunEnding::RefusedLate:
            return OrderOutcome::LeaseTooShort;
        case RunEnding::RefusedRoom:
            return OrderOutcome::InsufficientCapacity;
        case RunEnding::RefusedTicket:
            return OrderOutcome::TicketRejected;
        case RunEnding::RefusedInvalid:
            return OrderOutcome::Invalid;
        case RunEnding::Refused:
            return OrderOutcome::Refused;
        case RunEnding::StartsLost:
            return OrderOutcome::Unanswered;
        default:
            return std::nullopt;
        }
    }();
    calmSince_ = std::max(calmSince_, cell_.now().time + 2s);
    const auto until = cell_.now().time + 2s;
    if (end_ == RunEnding::RefusedIncarnation) {
        cell_.startFault = [this](const StartOrder &order) -> std::optional<OrderOutcome> {
            if (order.task == task_ && !std::exchange(hasRestarted_, true))
                cell_.minions.at(order.minion.id)->restart(cell_.now().time);
            return std::nullopt;
        };
    }
    if (outcome) {
        cell_.startFault = [this, outcome, until](const StartOrder &order) {
            const bool isDisturbed = order.task == task_ && cell_.now().time < until;
            return isDisturbed ? outcome : std::nullopt;
        };
    }
    cell_.lateOrders = end_ == RunEnding::StartsLate ? 50 : 0;
    cell_.answersAdvice = end_ != RunEnding::NoAdvice;
    disturbedUntil_ = until;
}

void LongRunningScenario::beginEvent()
{
    const auto now = cell_.now().time;
    switch (event_) {
    case NearbyEvent::LeaderChange:
        return cell_.changeLeader();
    case NearbyEvent::LeaderLoss:
    case NearbyEvent::RestartFromLog:
    case NearbyEvent::RestartFromSnapshot:
        cell_.loseLeader(SimulatedCell::Proposals::Lost);
        eventEnd_ = now + 600ms;
        break;
    case NearbyEvent::LeaderLossAfterCommit:
        cell_.loseLeader(SimulatedCell::Proposals::Committed);
        eventEnd_ = now + 300ms;
        break;
    case NearbyEvent::LongVacancy:
        cell_.loseLeader(SimulatedCell::Proposals::Lost);
        eventEnd_ = now + 20s;
        break;
    case NearbyEvent::ProposalsFail:
        cell_.failedProposals = 50;
        eventEnd_ = now + 1s;
        break;
    case NearbyEvent::AnswersLost:
        cell_.lostAnswers = 30;
        eventEnd_ = now + 2s;
        break;
    case NearbyEvent::OrdersLate:
        cell_.lateOrders = 30;
        eventEnd_ = now + 2s;
        break;
    case NearbyEvent::SecondMinionReborn:
        cell_.minions.at(random_.below(2) == 0 ? "b" : "c")->restart(now);
        return;
    case NearbyEvent::OtherJobCancelled:
        return cancelFillers(6);
    case NearbyEvent::Nothing:
        return;
    }
    calmSince_ = std::max(calmSince_, eventEnd_);
}

void LongRunningScenario::finishEvent()
{
    eventEnd_ = {};
    cell_.failedProposals = 0;
    cell_.lostAnswers = 0;
    cell_.lateOrders = 0;
    if (event_ == NearbyEvent::RestartFromSnapshot)
        cell_.electLeader(SimulatedCell::StoreOrigin::Snapshot);
    else if (event_ == NearbyEvent::RestartFromLog || event_ == NearbyEvent::LongVacancy)
        cell_.electLeader(SimulatedCell::StoreOrigin::Log);
    else if (cell_.isWithoutLeader())
        cell_.electLeader(SimulatedCell::StoreOrigin::Kept);
}

void LongRunningScenario::checkTasks()
{
    const auto now = cell_.now().time;
    if (disturbedUntil_ != TimePoint{} && now >= disturbedUntil_) {
        cell_.answersAdvice = true;
        cell_.lateOrders = 0;
        disturbedUntil_ = {};
    }
    if (cell_.phase(service) != JobPhase::Active)
        failure_ = "the job is not active";
    for (std::uint32_t index = 0; index < 2; ++index) {
        auto *minion = cell_.minionRunning({task_.step, index});
        if (minion && index == 0 && now < failUntil_) {
            auto &work = minion->runs.at(task_);
            work.how = RunEnd::Failed;
            work.endsAt = std::min(work.endsAt, now + 300ms);
        }
        if (minion)
            lastRun_.at(index) = now;
        const auto since = std::max({lastRun_.at(index), calmSince_, failUntil_});
        if (endAt_ != TimePoint{} && now > since + maxIdle + (isCrowded_ ? fillerTime : 0s) && failure_.empty())
            failure_ = "task " + std::to_string(index) + " has not run for "
                + std::to_string((now - lastRun_.at(index)) / 1ms) + " ms";
    }
}

std::string LongRunningScenario::checkEndState()
{
    if (!cell_.violations.empty())
        return cell_.violations.front();
    return checkCapacity();
}

void LongRunningScenario::cancelFillers(std::size_t count)
{
    for (std::size_t number = lastFiller_ > count ? lastFiller_ - count : 1; number <= lastFiller_; ++number)
        cell_.cancel(fillerId(number));
}

std::string LongRunningScenario::checkCapacity()
{
    hasFillers_ = false;
    cancelFillers(lastFiller_);
    advance(1500ms);
    const auto whole = std::count_if(cell_.minions.begin(), cell_.minions.end(), [](const auto &entry) {
        return !entry.second->isCut && entry.second->report.service == "service";
    });
    const auto tasks = static_cast<std::uint32_t>(whole) * 4 - 2;
    cell_.submit(afterwards, tasks, 1000, [](Wire::JobStep &step) { step.set_estimate_ms(fillerTime / 1ms); });
    cell_.run(1s);
    const auto running = cell_.minionsRunning(afterwards).size();
    return running == tasks ? "" : std::to_string(tasks - running) + " tasks of free capacity are not used";
}
