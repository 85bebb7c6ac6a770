#include "jobs/copypolicy.h"

#include <algorithm>
#include <vector>

namespace Pistachio::Jobs
{

namespace
{

constexpr double lateFactor = 1.5; ///< run times deviate from predictions by about a third
constexpr std::size_t minSiblings = 2; ///< of which the median is taken; one alone may be a straggler
constexpr std::uint32_t minPercent = 2; ///< progress is reported in whole percent

Duration scaled(Duration time, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

} // namespace

Duration CopyPolicy::typicalTime(Duration expected, const Siblings &siblings)
{
    if (siblings.totals.size() < minSiblings)
        return expected;
    std::vector<Duration> totals(siblings.totals.begin(), siblings.totals.end());
    const auto middle = totals.begin() + static_cast<std::ptrdiff_t>(totals.size() / 2);
    std::nth_element(totals.begin(), middle, totals.end());
    return *middle;
}

std::optional<Duration> CopyPolicy::totalOf(std::uint32_t percent, Duration reportedAfter, std::optional<Duration> pace)
{
    if (percent < minPercent || reportedAfter <= Duration::zero())
        return std::nullopt;
    const auto done = std::min(percent, 100U);
    const auto left = pace ? *pace * (100 - done) / 100 : reportedAfter * (100 - done) / done;
    return reportedAfter + left;
}

std::optional<CopyPolicy::Reason> CopyPolicy::decide(const RunningTask &task, const Siblings &siblings,
                                                     double copySlowness)
{
    Reason reason;
    reason.typical = typicalTime(task.expected, siblings);
    if (reason.typical <= Duration::zero())
        return std::nullopt;
    const auto limit = scaled(reason.typical, lateFactor * std::max(1.0, task.slowness));
    // Once it should have ended, what its progress has shown says no more than the time that has passed.
    const auto total = task.total && *task.total > task.elapsed ? task.total : std::nullopt;
    const bool isLate = total ? *total > limit : task.elapsed > limit && task.elapsed > siblings.longestDone;
    if (!isLate)
        return std::nullopt;
    // The run times of late tasks have a heavy tail: without progress, such a task is expected to take as long again.
    reason.remaining = total ? *total - task.elapsed : task.elapsed;
    reason.copyTime = scaled(reason.typical, copySlowness);
    return reason.gain() > Duration::zero() ? std::optional(reason) : std::nullopt;
}

bool CopyPolicy::isWorth(const Reason &reason, double usedBudget)
{
    return usedBudget <= 1 && reason.gain() >= scaled(reason.typical, usedBudget);
}

} // namespace Pistachio::Jobs
