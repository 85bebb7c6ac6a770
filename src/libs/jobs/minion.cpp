#include "jobs/minion.h"

#include <algorithm>

namespace Pistachio::Jobs
{

std::string toString(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Done:
        return "done";
    case OrderOutcome::StaleFencingToken:
        return "stale fence";
    case OrderOutcome::StaleRun:
        return "old run";
    case OrderOutcome::LeaseTooShort:
        return "lease too short";
    case OrderOutcome::InsufficientCapacity:
        return "no room";
    case OrderOutcome::TicketRejected:
        return "ticket rejected";
    case OrderOutcome::Invalid:
        return "invalid";
    case OrderOutcome::Refused:
        return "refused";
    case OrderOutcome::IncarnationMismatch:
        return "other life";
    case OrderOutcome::Unanswered:
        return "unanswered";
    case OrderOutcome::NotSent:
        return "not sent";
    }
    return "unanswered";
}

ResourceAmounts &ResourceAmounts::operator+=(const ResourceAmounts &other)
{
    milliCores += other.milliCores;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

ResourceAmounts &ResourceAmounts::operator-=(const ResourceAmounts &other)
{
    milliCores -= other.milliCores;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

bool ResourceAmounts::fitsIn(const ResourceAmounts &available) const
{
    return milliCores <= available.milliCores && memoryMb <= available.memoryMb
        && accelerators <= available.accelerators;
}

ResourceAmounts Minion::capacity() const
{
    return {report.milliCores, report.memoryMb, report.accelerators};
}

Run &Minion::add(const TaskName &task, const Run &run)
{
    remove(task);
    used_ += run.reserved;
    spareMilliCoresUsed_ += run.spareMilliCores;
    return runs[task] = run;
}

void Minion::remove(const TaskName &task)
{
    const auto found = runs.find(task);
    if (found == runs.end())
        return;
    used_ -= found->second.reserved;
    spareMilliCoresUsed_ -= found->second.spareMilliCores;
    runs.erase(found);
}

ResourceAmounts Minion::freeCapacity() const
{
    auto left = capacity();
    left -= used_;
    return left;
}

std::uint32_t Minion::taskCount(const StepName &step) const
{
    std::uint32_t count = 0;
    for (auto entry = runs.lower_bound({step, 0}); entry != runs.end() && entry->first.step == step; ++entry)
        ++count;
    return count;
}

bool Minion::hasLabel(const std::string &label) const
{
    return label.empty() || std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
}

TimePoint Minion::leaseEndOf(const Run &run) const
{
    return run.isConfirmed ? leaseBound.knownIncarnationEnd() : leaseBound.end();
}

void Minion::suspend()
{
    leaseConfirmed = false;
    clockMs.reset();
}

std::optional<std::int64_t> Minion::extendLease(Duration lease)
{
    if (!clockMs)
        return std::nullopt;
    // The minion read its clock at clockAt or earlier, so the lease ends by this time even on the slowest clock.
    leaseBound.grant(clockAt + longestTime(lease));
    return *clockMs + lease / 1ms;
}

std::string Minion::kind() const
{
    return report.labels.empty() ? report.service : report.service + '/' + report.labels.front();
}

std::string Minion::rack() const
{
    return report.labels.empty() ? std::string() : report.labels.back();
}

void Minion::recordClock(TimePoint now, std::int64_t clock)
{
    clockMs = clock;
    clockAt = now;
}

} // namespace Pistachio::Jobs
