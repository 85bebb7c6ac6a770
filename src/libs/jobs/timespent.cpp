#include "jobs/timespent.h"

#include "jobs/minion.h"

#include <algorithm>

namespace Pistachio::Jobs
{

TimeSpent &TimeSpent::operator+=(const TimeSpent &other)
{
    advice += other.advice;
    queue += other.queue;
    assignment += other.assignment;
    start += other.start;
    run += other.run;
    expectedRun += other.expectedRun;
    end += other.end;
    return *this;
}

TimeSpent timeSpent(const Run &run, TimePoint advisedAt, TimePoint now)
{
    TimeSpent spent;
    // A run that was adopted from an earlier leader has no times of its assignment.
    if (run.orderedAt != TimePoint{}) {
        const auto advised = std::clamp(advisedAt, run.readyAt, run.plannedAt);
        spent.advice = advised - run.readyAt;
        spent.queue = run.plannedAt - advised;
        spent.assignment = run.orderedAt - run.plannedAt;
    }
    const auto endReadAt = run.phase == RunPhase::Ending ? run.phaseSince : now;
    // The end may be read before a confirmation of the start.
    const auto startedAt = run.startedAt == TimePoint{} ? endReadAt : run.startedAt;
    if (run.orderedAt != TimePoint{})
        spent.start = startedAt - run.orderedAt;
    spent.run = endReadAt - startedAt;
    spent.expectedRun = run.expected;
    spent.end = now - endReadAt;
    return spent;
}

} // namespace Pistachio::Jobs
