// Records which long-running tasks are known to work where they are assigned.
//
// A start may reach a later incarnation of a minion than the one that it is meant for, and works there under the
// longest lease that a minion grants. A new leader waits for that lease, unless the store says that the run is
// confirmed. Tasks that end by themselves aren't recorded: there are many more of them, and their job may wait for the
// longer lease.

#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <utility>

namespace Pistachio::Jobs
{

void JobScheduler::confirmRuns(Minion &minion)
{
    const bool isLeaseUsual
        = minion.leaseBound.knownIncarnationEnd() <= now_.time + longestTime(settings_.lease) + leaseMargin;
    for (auto &[task, run] : minion.runs) {
        if (run.listedAt != now_.time || run.phase != RunPhase::Running)
            continue;
        // One of several starts may still be under way, and reach a later incarnation.
        run.isConfirmed = run.isConfirmed || run.attempts <= 1 || run.unansweredStarts == 0
            || now_.time >= run.lastOrderAt + longestOrderDelay;
        if (!run.awaitsRecord || !run.isConfirmed || !isLeaseUsual)
            continue;
        run.awaitsRecord = false;
        confirmedRuns_.emplace_back(task, run.run);
    }
}

void JobScheduler::proposeConfirmations()
{
    if (confirmedRuns_.empty())
        return;
    Wire::JobCommand command;
    for (const auto &[task, run] : std::exchange(confirmedRuns_, {})) {
        auto &confirmation = *command.add_confirmed_runs();
        fill(*confirmation.mutable_task(), task);
        confirmation.set_run(run);
    }
    ports_.logDecision(Logging::LogLevel::Debug, "runs-confirmed", {{"runs", command.confirmed_runs_size()}});
    ports_.propose(std::move(command), {});
}

/// The run is noted again when the minion lists it next.
void JobScheduler::revertConfirmation(const Wire::JobRunConfirmation &confirmation)
{
    const auto task = toTaskName(confirmation.task());
    const auto *job = store_.job(task.step.job);
    const auto *record = job ? job->task(task) : nullptr;
    auto *minion = record ? minionOf(*record) : nullptr;
    const auto found = minion ? minion->runs.find(task) : std::map<TaskName, Run>::iterator();
    if (minion && found != minion->runs.end() && found->second.run == confirmation.run())
        found->second.awaitsRecord = true;
}

} // namespace Pistachio::Jobs
