// Reports gangs that wait for long, with what they wait for.

#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{

constexpr Duration reportInterval = 2s; ///< of a gang, and how long it waits before its first report
constexpr Duration reportSpacing = 100ms; ///< between the reports of all gangs
constexpr std::size_t maxListedMembers = 4;

std::string_view phaseName(RunPhase phase)
{
    switch (phase) {
    case RunPhase::Proposed:
        return "proposed";
    case RunPhase::Adopted:
        return "adopted";
    case RunPhase::Starting:
        return "starting";
    case RunPhase::Running:
        return "running";
    case RunPhase::Stopping:
        return "stopping";
    case RunPhase::Ending:
        return "ending";
    }
    return "unknown";
}

} // namespace

void JobScheduler::reportWaitingGang(const WaitingEntry &entry, const Job &job)
{
    const auto &name = entry.first;
    const auto &waiting = entry.second;
    if (now_.time < std::max(waiting.readySince, waiting.reportedAt) + reportInterval
        || now_.time < lastGangReport_ + reportSpacing)
        return;
    const auto requirements = requirementsOf(job, name);
    if (!requirements)
        return;
    lastGangReport_ = now_.time;
    queue_.setReported(name, now_.time);
    const auto usable = eligibleMinions(name, *requirements, Tickets::Valid, Room::Later);
    const auto fitting = std::count_if(usable.begin(), usable.end(), [&](const Minion *minion) {
        return fits(*minion, *requirements, name, Room::Now);
    });
    ports_.logDecision(LogLevel::Info, "gang-waits",
                       {{"step", name.toString()},
                        {"waited_ms", (now_.time - waiting.readySince) / 1ms},
                        {"waiting", waiting.tasks.size()},
                        {"of", requirements->step.tasks()},
                        {"held", membersNotWaiting(entry, job)},
                        {"minions", fleet_.minions().size()},
                        {"reserved", reservations_.wholeMinions()},
                        {"approved", advice_.adviceFor(name).approved.size()},
                        {"usable", usable.size()},
                        {"fitting", fitting}});
}

std::string JobScheduler::membersNotWaiting(const WaitingEntry &entry, const Job &job)
{
    const auto &[name, waiting] = entry;
    const auto &tasks = job.step(name.occurrence, name.step)->tasks;
    std::string text;
    std::size_t listed = 0;
    for (std::uint32_t index = 0; index < tasks.size() && listed < maxListedMembers; ++index) {
        if (waiting.tasks.contains(index))
            continue;
        text += (listed++ == 0 ? "" : " ") + std::to_string(index) + ':' + describeRun({name, index}, tasks[index]);
    }
    return text;
}

std::string JobScheduler::describeRun(const TaskName &name, const Task &task)
{
    if (task.state != TaskState::Assigned)
        return "not assigned";
    const auto text = std::to_string(task.run) + '@' + task.minion + ':';
    const auto *minion = fleet_.find(task.minion);
    const auto found = minion ? minion->runs.find(name) : std::map<TaskName, Run>::const_iterator();
    if (minion && found != minion->runs.end())
        return text + std::string(phaseName(found->second.phase)) + (found->second.stopConfirmed ? " confirmed" : "");
    return text + (lostRuns_.contains({name, task.run}) ? "lost" : "unknown");
}

} // namespace Pistachio::Jobs
