#include "platform/simulatedminion.h"

#include "platform/runobserver.h"

#include <algorithm>
#include <utility>

using namespace Pistachio;
using namespace Pistachio::Jobs;

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

bool SimulatedMinion::accepts(std::uint64_t fence)
{
    if (fence < fence_)
        return false;
    fence_ = fence;
    return true;
}

OrderAnswer SimulatedMinion::start(TimePoint now, const StartOrder &order)
{
    if (order.minion != report.life)
        return {OrderOutcome::OtherLife, std::nullopt};
    if (!accepts(order.fence))
        return {OrderOutcome::StaleFence, clock(now)};
    const auto found = runs.find(order.task);
    if (found != runs.end() && found->second.run == order.run)
        return {OrderOutcome::Done, clock(now)};
    leaseUntil_ = std::max(leaseUntil_, order.leaseExpiresAtMs);
    if (order.leaseExpiresAtMs <= clock(now))
        return {OrderOutcome::LeaseTooShort, clock(now)};
    if (found != runs.end() || order.run <= highestEnded_[order.task])
        return {OrderOutcome::OldRun, clock(now)};
    const auto how = failsEverything ? RunEnd::Failed : RunEnd::Done;
    runs[order.task] = {order.run, now + (standsStill ? Duration(1h) : runTime_), how, order.checkpoint + "+"};
    if (observer != nullptr)
        observer->runBegan(report.life.id, order);
    return {OrderOutcome::Done, clock(now)};
}

OrderAnswer SimulatedMinion::stop(TimePoint now, const StopOrder &order)
{
    if (order.minion != report.life)
        return {OrderOutcome::OtherLife, std::nullopt};
    if (!accepts(order.fence))
        return {OrderOutcome::StaleFence, clock(now)};
    const auto found = runs.find(order.task);
    if (found != runs.end() && found->second.run <= order.run)
        end(order.task, RunEnd::Stopped);
    auto &highest = highestEnded_[order.task];
    highest = std::max(highest, order.run);
    return {OrderOutcome::Done, clock(now)};
}

void SimulatedMinion::hold(TimePoint now, const HoldOrder &order, std::function<void(const HoldAnswer &)> answer)
{
    HoldAnswer refused;
    refused.clockMs = clock(now);
    if (order.minion != report.life || !accepts(order.fence)) {
        refused.outcome = order.minion != report.life ? OrderOutcome::OtherLife : OrderOutcome::StaleFence;
        answer(refused);
        return;
    }
    if (order.leaseExpiresAtMs)
        leaseUntil_ = std::max(leaseUntil_, *order.leaseExpiresAtMs);
    if (observer != nullptr)
        observer->endsAcknowledged(report.life.id, order.acknowledgedEnd);
    std::erase_if(ended_, [&order](const EndedRun &item) { return item.number <= order.acknowledgedEnd; });
    if (!ended_.empty() || order.wait == Duration::zero())
        answer(lists(now));
    else
        waiting_.push_back({now + order.wait, std::move(answer)});
}

HoldAnswer SimulatedMinion::lists(TimePoint now) const
{
    HoldAnswer answer;
    answer.outcome = OrderOutcome::Done;
    answer.clockMs = clock(now);
    answer.bornUnixMs = report.life.bornUnixMs;
    for (const auto &[task, work] : runs)
        answer.active.push_back({task, work.run, work.checkpoint, percent(now, work), 0});
    answer.ended = ended_;
    return answer;
}

std::uint32_t SimulatedMinion::percent(TimePoint now, const Work &work) const
{
    if (standsStill)
        return 0;
    const auto left = std::max(Duration::zero(), work.endsAt - now);
    return static_cast<std::uint32_t>(100 - std::min<std::int64_t>(100, 100 * left / runTime_));
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
        observer->runEnded(report.life.id, ended_.back());
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
        end(task, lapsed ? RunEnd::Lapsed : runs.at(task).how);
    std::vector<WaitingHold> due;
    for (auto &item : waiting_) {
        if (!ended_.empty() || now >= item.until)
            due.push_back(std::move(item));
    }
    std::erase_if(waiting_, [](const WaitingHold &item) { return item.answer == nullptr; });
    for (const auto &item : due)
        item.answer(lists(now));
}

void SimulatedMinion::restart(TimePoint now)
{
    if (observer != nullptr)
        observer->minionCrashed(report.life.id);
    report.life.bornUnixMs += 1000;
    report.sequence = 0;
    runs.clear();
    ended_.clear();
    waiting_.clear();
    highestEnded_.clear();
    fence_ = 0;
    leaseUntil_ = 0;
    lastEnd_ = 0;
    born_ = now;
}
