// Reactions of the scheduler to changes in the job store.

#include "jobs/endproof.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

void JobScheduler::configurationChanged()
{
    planNeeded_ = true;
    if (!leading_)
        return;
    teamUsage_.configure(store_.teams());
    queue_.updateServices([this](const std::string &id) {
        const auto *job = store_.job(id);
        const auto *queue = job ? store_.queue(job->submission().queue()) : nullptr;
        return queue ? queue->service() : std::string();
    });
    for (const auto &queue : store_.configuration().queues())
        services_.try_emplace(queue.service(), now_.time);
    ports_.logDecision(LogLevel::Info, "configuration-in-force", {{"version", store_.configuration().version()}});
}

void JobScheduler::jobEnded(const Job &job)
{
    if (!leading_)
        return;
    finishedJobs_[now_.time + settings_.finishedRetention].push_back(job.id());
    queue_.removeJob(job.id());
    begunJobs_.erase(job.id());
    copies_.jobEnded(job.id());
    durations_.removeJob(job.id());
    speeds_.removeJob(job.id());
    movedTasks_.erase(movedTasks_.lower_bound({{job.id(), 0, 0}, 0}),
                      movedTasks_.lower_bound({{job.id() + '\0', 0, 0}, 0}));
    preemptions_.erase(preemptions_.lower_bound({{job.id(), 0, 0}, 0}),
                       preemptions_.lower_bound({{job.id() + '\0', 0, 0}, 0}));
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        for (std::uint32_t number = 0; number < job.stepsPerOccurrence(); ++number)
            advice_.removeStep({job.id(), occurrence, number});
    }
    stopRunsOf(job);
    const auto entry = timeSpent_.extract(job.id());
    const auto spent = entry.empty() ? TimeSpent() : entry.mapped();
    ports_.logDecision(LogLevel::Info, "job-ended",
                       {{"job", job.id()},
                        {"queue", job.submission().queue()},
                        {"phase", static_cast<int>(job.phase())},
                        {"age_ms", now_.unixMs - job.submission().accepted_unix_ms()},
                        {"advice_ms", spent.advice / 1ms},
                        {"queue_ms", spent.queue / 1ms},
                        {"assignment_ms", spent.assignment / 1ms},
                        {"start_ms", spent.start / 1ms},
                        {"run_ms", spent.run / 1ms},
                        {"expected_run_ms", spent.expectedRun / 1ms},
                        {"end_ms", spent.end / 1ms}});
}

/// Counts the run of the task that ended last in its step, as the next step waited for it.
void JobScheduler::addTimeSpent(const Job &job, const StepName &step, const Run &run)
{
    if (!job.step(step.occurrence, step.step)->isDone())
        return;
    timeSpent_[job.id()] += timeSpent(run, advice_.adviceFor(step).answeredAt, now_.time);
}

void JobScheduler::stopRunsOf(const Job &job)
{
    if (!job.hasAssignedTasks())
        return;
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        for (std::uint32_t number = 0; number < job.stepsPerOccurrence(); ++number)
            stopRuns(job, {job.id(), occurrence, number}, StopReason::JobEnded);
    }
}

void JobScheduler::stopRuns(const Job &job, const StepName &step, StopReason reason)
{
    const auto &tasks = job.step(step.occurrence, step.step)->tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        tasks[index].forEachAssigned([&](std::uint64_t /*run*/, const std::string &id, std::int64_t born) {
            auto *minion = fleet_.find(MinionIncarnation{id, born});
            const auto found = minion ? minion->runs.find({step, index}) : std::map<TaskName, Run>::iterator();
            if (!minion || found == minion->runs.end())
                return;
            // The run that a completed task left over is being stopped already when its job ends.
            const bool isOrdered = found->second.phase == RunPhase::Stopping && found->second.orderOutstanding;
            if (!isOrdered)
                sendStop(*minion, found->first, found->second, reason);
        });
    }
}

void JobScheduler::stopPartOfGang(const Job &job, const StepName &step)
{
    if (!job.spec(step.step).gang())
        return;
    const auto &tasks = job.step(step.occurrence, step.step)->tasks;
    const bool isWhole
        = std::none_of(tasks.begin(), tasks.end(), [](const Task &task) { return task.state == TaskState::Waiting; });
    if (!isWhole)
        stopRuns(job, step, StopReason::GangIncomplete);
}

Minion *JobScheduler::minionOf(const Task &task)
{
    return fleet_.find(MinionIncarnation{task.minion, task.minionBornUnixMs});
}

Minion *JobScheduler::minionOf(const Task &task, std::uint64_t run)
{
    if (task.other && task.other->run == run)
        return fleet_.find(MinionIncarnation{task.other->minion, task.other->minionBornUnixMs});
    return minionOf(task);
}

void JobScheduler::jobRemoved(const std::string &job)
{
    teamUsage_.removeJob(job);
    // Runs that end after their job are learned from, too.
    speeds_.removeJob(job);
    durations_.removeJob(job);
    copies_.jobRemoved(job);
}

void JobScheduler::taskAssigned(const Job &job, const TaskName &task, std::uint64_t run)
{
    if (leading_)
        countRun(job, task, run);
    const auto &record = *job.task(task);
    if (record.other && record.other->run == run)
        copies_.copyAssigned(task, run);
    auto *minion = leading_ ? minionOf(record, run) : nullptr;
    const auto found = minion ? minion->runs.find(task) : std::map<TaskName, Run>::iterator();
    if (!minion || found == minion->runs.end() || found->second.run != run) {
        // The minion was removed or replaced while the assignment was being committed; no start was sent.
        if (leading_)
            lostRuns_[{task, run}] = now_.time;
        return;
    }
    if (found->second.phase != RunPhase::Proposed)
        return;
    found->second.phase = RunPhase::Starting;
    found->second.phaseSince = now_.time;
    found->second.orderedAt = now_.time;
    ticketMargin_.recordCommit(now_.time - found->second.plannedAt);
    // The cap may have been cut while the assignment was being committed.
    if (!minion->isLeaving && !isOverCap(job))
        sendStart(*minion, task, found->second);
    else if (const auto proof = EndProof::neverOrdered(found->second))
        giveUpStart(*minion, task, found->second, *proof);
}

void JobScheduler::assignmentDropped(const Wire::JobAssignment &assignment)
{
    if (leading_)
        revertAssignment(assignment);
}

void JobScheduler::revertAssignment(const Wire::JobAssignment &assignment)
{
    const auto task = toTaskName(assignment.task());
    auto *minion = fleet_.find(MinionIncarnation{assignment.minion(), assignment.minion_born_unix_ms()});
    const auto found = minion ? minion->runs.find(task) : std::map<TaskName, Run>::iterator();
    if (minion && found != minion->runs.end() && found->second.run == assignment.run()
        && found->second.phase == RunPhase::Proposed)
        minion->remove(task);
    planNeeded_ = true;
    const auto *job = store_.job(task.step.job);
    const auto *record = job ? job->task(task) : nullptr;
    if (!record || !record->isAssigned(assignment.run()))
        teamUsage_.remove(task, assignment.run());
    // The task of a copy waits only if its other run has ended, and was enqueued then.
    if (assignment.is_copy()) {
        copies_.copyDropped(now_.time, task);
        return;
    }
    if (record && job->phase() == JobPhase::Active && record->state == TaskState::Waiting)
        enqueue(*job, task);
}

void JobScheduler::taskEnded(const Job &job, const Wire::JobEnd &end, bool changed)
{
    if (!leading_)
        return;
    const auto name = toTaskName(end.task());
    teamUsage_.remove(name, end.run());
    const auto *task = job.task(name);
    if (!task) {
        auto *minion = fleet_.find(MinionIncarnation{end.minion(), end.minion_born_unix_ms()});
        if (minion)
            minion->remove(name);
        return;
    }
    const auto &step = job.spec(name.step.step);
    planNeeded_ = true;
    // The end may come from the minion of an earlier run, not from the one that the task is assigned to now.
    const bool isWinner = changed && end.how() == Wire::JOB_RUN_END_DONE;
    bool isRunKnown = false;
    const auto settle = [&](const MinionIncarnation &incarnation) {
        auto *minion = fleet_.find(incarnation);
        const auto found = minion ? minion->runs.find(name) : std::map<TaskName, Run>::iterator();
        if (!minion || found == minion->runs.end())
            return;
        if (found->second.run == end.run() && found->second.phase == RunPhase::Ending) {
            isRunKnown = true;
            copies_.runEnded(now_.time, job, name, found->second, isWinner);
            if (isWinner)
                addTimeSpent(job, name.step, found->second);
            minion->remove(name);
        } else if (isWinner && !step.long_running())
            sendStop(*minion, name, found->second, StopReason::TaskDone);
    };
    settle({end.minion(), end.minion_born_unix_ms()});
    settle({task->minion, task->minionBornUnixMs});
    if (task->other)
        settle({task->other->minion, task->other->minionBornUnixMs});
    if (changed && !isRunKnown) {
        // Its minion was removed or came anew before the end was stored.
        Run lost;
        lost.run = end.run();
        copies_.runEnded(now_.time, job, name, lost, isWinner);
    }
    if (!changed || job.phase() != JobPhase::Active)
        return;
    const auto &record = *job.step(name.step.occurrence, name.step.step);
    if (end.how() == Wire::JOB_RUN_END_DONE && !step.long_running()) {
        if (!record.isDone())
            return;
        advice_.removeStep(name.step);
        for (std::uint32_t number = name.step.step + 1; number < job.stepsPerOccurrence(); ++number) {
            const auto &needed = job.spec(number).depends_on();
            if (std::find(needed.begin(), needed.end(), name.step.step) == needed.end()
                || !job.areDependenciesDone(name.step.occurrence, number))
                continue;
            for (std::uint32_t index = 0; index < job.spec(number).tasks(); ++index)
                enqueue(job, {{job.id(), name.step.occurrence, number}, index});
        }
        return;
    }
    if (record.tasks[name.index].state == TaskState::Waiting)
        enqueue(job, name);
    // The other members of a gang can't work without this one.
    if (step.gang())
        stopRuns(job, name.step, StopReason::GangIncomplete);
}

} // namespace Pistachio::Jobs
