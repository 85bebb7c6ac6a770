#include "platform/simulatedminion.h"

#include "platform/runobserver.h"

#include <algorithm>
#include <utility>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{
constexpr std::size_t endsPerAnswer = 500;
constexpr Duration longestLease = 6s; ///< longer ones are cut down to it
} // namespace

SimulatedMinion::SimulatedMinion(MinionReport minionReport, Duration runTime, double clockRate)
    : report(std::move(minionReport))
    , runTime_(runTime)
    , clockRate_(clockRate)
{
}

std::int64_t SimulatedMinion::clock(TimePoint now) const
{
    return static_cast<std::int64_t>(static_cast<double>((now - born_).count()) / 1000.0 * clockRate_);
}

void SimulatedMinion::extendLease(TimePoint now, std::int64_t expiresAtMs)
{
    leaseUntil_ = std::max(leaseUntil_, std::min(expiresAtMs, clock(now) + longestLease / 1ms));
}

bool SimulatedMinion::accepts(const MinionFence &fence)
{
    if (fence.number() < highestFence_)
        return false;
    highestFence_ = fence.number();
    return true;
}

OrderAnswer SimulatedMinion::start(TimePoint now, const StartOrder &order)
{
    if (order.minion.id != report.incarnation.id)
        return {OrderOutcome::IncarnationMismatch, std::nullopt};
    if (!accepts(order.fence))
        return {OrderOutcome::StaleFencingToken, clock(now)};
    const auto found = runs.find(order.task);
    if (found != runs.end() && found->second.run == order.run)
        return {OrderOutcome::Done, clock(now)};
    extendLease(now, order.leaseExpiresAtMs);
    if (order.leaseExpiresAtMs <= clock(now))
        return {OrderOutcome::LeaseTooShort, clock(now)};
    if (found != runs.end() || order.run <= highestEnded_[order.task])
        return {OrderOutcome::StaleRun, clock(now)};
    const auto how = failsEverything ? RunEnd::Failed : RunEnd::Done;
    const auto length = standsStill ? Duration(1h) : runLength ? runLength(order.task, order.run) : runTime_;
    Work work{order.run, now + length, how, order.checkpoint + "+", false, length};
    if (const auto longRunning = longRunningRun ? longRunningRun(order.task, order.run) : std::nullopt) {
        work.endsAt = now + longRunning->length;
        work.how = longRunning->how;
        work.isLongRunning = true;
    }
    runs[order.task] = std::move(work);
    if (observer != nullptr)
        observer->runBegan(report.incarnation.id, order);
    return {OrderOutcome::Done, clock(now)};
}

OrderAnswer SimulatedMinion::stop(TimePoint now, const StopOrder &order)
{
    if (order.minion.id != report.incarnation.id)
        return {OrderOutcome::IncarnationMismatch, std::nullopt};
    if (!accepts(order.fence))
        return {OrderOutcome::StaleFencingToken, clock(now)};
    const auto found = runs.find(order.task);
    if (found != runs.end() && found->second.run <= order.run) {
        if (stopTime == Duration::zero())
            end(order.task, RunEnd::Stopped);
        else if (std::exchange(found->second.how, RunEnd::Stopped) != RunEnd::Stopped)
            found->second.endsAt = std::min(found->second.endsAt, now + stopTime);
    }
    auto &highest = highestEnded_[order.task];
    highest = std::max(highest, order.run);
    return {OrderOutcome::Done, clock(now)};
}

void SimulatedMinion::renewLease(TimePoint now, const LeaseOrder &order,
                                 std::function<void(const LeaseAnswer &)> answer)
{
    LeaseAnswer refused;
    refused.clockMs = clock(now);
    if (order.minion.id != report.incarnation.id || !accepts(order.fence)) {
        refused.outcome = order.minion.id != report.incarnation.id ? OrderOutcome::IncarnationMismatch
                                                                   : OrderOutcome::StaleFencingToken;
        answer(refused);
        return;
    }
    if (order.leaseExpiresAtMs)
        extendLease(now, *order.leaseExpiresAtMs);
    if (observer != nullptr)
        observer->endsAcknowledged(report.incarnation.id, order.acknowledgedEnd);
    std::erase_if(ended_, [&order](const EndedRun &item) { return item.number <= order.acknowledgedEnd; });
    if (!ended_.empty() || order.wait == Duration::zero())
        answer(lists(now));
    else
        waiting_.push_back({now + order.wait, std::move(answer)});
}

LeaseAnswer SimulatedMinion::lists(TimePoint now) const
{
    LeaseAnswer answer;
    answer.outcome = OrderOutcome::Done;
    answer.clockMs = clock(now);
    answer.bornUnixMs = report.incarnation.bornUnixMs;
    for (const auto &[task, work] : runs)
        answer.active.push_back(
            {task, work.run, work.checkpoint, hidesProgress ? 0 : percent(now, work), 0, !hidesProgress});
    answer.isActiveComplete = !hidesRuns && !hasOddRow;
    if (hidesRuns)
        answer.active.clear();
    answer.ended.assign(ended_.begin(),
                        ended_.begin() + static_cast<std::ptrdiff_t>(std::min(ended_.size(), endsPerAnswer)));
    answer.hasMoreEnds = ended_.size() >= endsPerAnswer;
    answer.ended.insert(answer.ended.end(), strayEnds.begin(), strayEnds.end());
    return answer;
}

std::uint32_t SimulatedMinion::percent(TimePoint now, const Work &work) const
{
    if (standsStill)
        return 0;
    if (work.isLongRunning)
        return 100;
    const auto left = std::max(Duration::zero(), work.endsAt - now);
    return static_cast<std::uint32_t>(100 - std::min<std::int64_t>(100, 100 * left / work.length));
}

void SimulatedMinion::end(const TaskName &task, RunEnd how)
{
    const auto work = runs.at(task);
    runs.erase(task);
    auto &highest = highestEnded_[task];
    highest = std::max(highest, work.run);
    ended_.push_back({++lastEnd_, task, work.run, how, work.checkpoint});
    if (how == RunEnd::Done)
        ++finished[task];
    if (observer != nullptr)
        observer->runEnded(report.incarnation.id, ended_.back());
}

void SimulatedMinion::tick(TimePoint now)
{
    const bool lapsed = clock(now) >= leaseUntil_;
    std::vector<TaskName> over;
    for (const auto &[task, work] : runs) {
        if (lapsed || now >= work.endsAt)
            over.push_back(task);
    }
    for (const auto &task : over)
        end(task, lapsed ? RunEnd::LeaseExpired : runs.at(task).how);
    std::vector<WaitingRenewal> due;
    for (auto &item : waiting_) {
        if (!ended_.empty() || now >= item.until)
            due.push_back(std::move(item));
    }
    std::erase_if(waiting_, [](const WaitingRenewal &item) { return item.answer == nullptr; });
    for (const auto &item : due)
        item.answer(lists(now));
}

void SimulatedMinion::restart(TimePoint now)
{
    if (observer != nullptr)
        observer->minionCrashed(report.incarnation.id);
    report.incarnation.bornUnixMs += 1000;
    report.sequence = 0;
    runs.clear();
    ended_.clear();
    waiting_.clear();
    highestEnded_.clear();
    highestFence_ = 0;
    leaseUntil_ = 0;
    lastEnd_ = 0;
    born_ = now;
}
