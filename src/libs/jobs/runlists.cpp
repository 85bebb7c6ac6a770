// What minions list in answer to a hold: runs that are active, runs that ended, and what is missing.

#include "jobs/demand.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{

constexpr Duration longestAnswer = 400ms; ///< beyond the wait of a hold; the client gives up earlier
constexpr Duration holdRetry = 50ms;
constexpr std::uint32_t failuresBeforeAvoiding = 3;
constexpr Duration avoidAfterFailures = 8s;
constexpr Duration holdRetryLost = 1s; ///< of a minion whose lease is over

Wire::JobRunEnd toWire(RunEnd how)
{
    switch (how) {
    case RunEnd::Done:
        return Wire::JOB_RUN_END_DONE;
    case RunEnd::Failed:
        return Wire::JOB_RUN_END_FAILED;
    case RunEnd::Stopped:
        return Wire::JOB_RUN_END_STOPPED;
    case RunEnd::LeaseExpired:
        return Wire::JOB_RUN_END_LAPSED;
    case RunEnd::GangMemberEnded:
        return Wire::JOB_RUN_END_BROKEN;
    case RunEnd::GangIncomplete:
        return Wire::JOB_RUN_END_ALONE;
    }
    return Wire::JOB_RUN_END_UNSPECIFIED;
}

} // namespace

void JobScheduler::leaseAnswered(const EventTime &now, const LeaseOrder &order, const LeaseAnswer &answer)
{
    now_ = now;
    auto *minion = leading_ ? fleet_.find(order.minion) : nullptr;
    if (!minion)
        return;
    minion->holdOutstanding = false;
    noteContact(*minion, answer.outcome);
    minion->nextHold = now.time + holdRetry;
    const bool otherLife
        = answer.bornUnixMs != 0 && order.minion.bornUnixMs != 0 && answer.bornUnixMs != order.minion.bornUnixMs;
    if (answer.outcome == OrderOutcome::IncarnationMismatch || otherLife) {
        loseMinion(*minion, "its address answers for another life");
        return;
    }
    if (answer.outcome != OrderOutcome::Done) {
        if (now.time > minion->leaseGone)
            minion->nextHold = now.time + holdRetryLost;
        ports_.logDecision(LogLevel::Info, "hold-not-done",
                           {{"minion", order.minion.id},
                            {"outcome", toString(answer.outcome)},
                            {"silent_ms", (now.time - minion->lastContact) / 1ms}});
        return;
    }
    if (answer.clockMs)
        minion->clockRead(now.time, *answer.clockMs);
    const bool first = !minion->isHeld;
    minion->isHeld = true;
    minion->lastContact = now.time;
    minion->nextHold = now.time;
    dirty_ = dirty_ || first;
    // What reaches a process after its own suspension tells of the time before.
    const bool isRecent = now.time <= minion->holdSent + order.wait + longestAnswer;
    for (const auto &active : answer.active)
        takeActive(*minion, active, isRecent);
    Wire::JobCommand command;
    for (const auto &ended : answer.ended)
        takeEnded(*minion, ended, command);
    endUnlisted(*minion, answer, minion->holdSent, command);
    if (isRecent)
        judgeSpeed(*minion);
    pace(*minion);
    if (!answer.ended.empty())
        minion->seenEnd = std::max(minion->seenEnd, answer.ended.back().number);
    if (command.ends_size() == 0) {
        minion->acknowledgedEnd = minion->seenEnd;
        return;
    }
    minion->endsProposed = true;
    ports_.propose(std::move(command), [this, incarnation = order.minion, last = minion->seenEnd](bool applied) {
        auto *later = leading_ ? fleet_.find(incarnation) : nullptr;
        if (!later)
            return;
        later->endsProposed = false;
        if (applied)
            later->acknowledgedEnd = std::max(later->acknowledgedEnd, last);
        else
            later->seenEnd = later->acknowledgedEnd;
    });
}

void JobScheduler::takeActive(Minion &minion, const ActiveRun &active, bool isRecent)
{
    auto found = minion.runs.find(active.task);
    const auto *job = store_.job(active.task.step.job);
    if (found == minion.runs.end() || found->second.run < active.run) {
        if (found != minion.runs.end())
            return;
        // A run that the book doesn't know as current, such as one that started late.
        Run orphan;
        orphan.run = active.run;
        orphan.isOrphan = true;
        orphan.phase = RunPhase::Running;
        if (job && active.task.step.step < job->stepsPerOccurrence())
            orphan.reserved = reservedBy(job->spec(active.task.step.step));
        minion.add(active.task, orphan);
        found = minion.runs.find(active.task);
        ports_.logDecision(
            LogLevel::Warning, "orphan-run",
            {{"task", active.task.toString()}, {"run", active.run}, {"minion", minion.report.incarnation.id}});
        sendStop(minion, active.task, found->second);
        return;
    }
    auto &run = found->second;
    if (run.run != active.run)
        return;
    if (isRecent)
        noteProgress(minion, active, run);
    run.measure = active.measurement;
    if (!active.checkpoint.empty())
        run.checkpoint = active.checkpoint;
    if (run.phase == RunPhase::Adopted || run.phase == RunPhase::Starting) {
        begun_.insert(active.task.step.job);
        run.phase = RunPhase::Running;
        run.phaseSince = now_.time;
        run.startedAt = now_.time;
        run.progressAt = now_.time;
        if (job && job->phase() != JobPhase::Active)
            sendStop(minion, active.task, run);
    }
}

void JobScheduler::takeEnded(Minion &minion, const EndedRun &ended, Wire::JobCommand &command)
{
    if (ended.number <= minion.seenEnd)
        return;
    const auto *job = store_.job(ended.task.step.job);
    const auto found = minion.runs.find(ended.task);
    const bool isKnown = found != minion.runs.end() && found->second.run == ended.run;
    if (ended.end == RunEnd::Failed && minion.lastFailedJob != ended.task.step.job) {
        minion.lastFailedJob = ended.task.step.job;
        if (++minion.failuresInRow >= failuresBeforeAvoiding) {
            minion.avoidUntil = now_.time + avoidAfterFailures;
            ports_.logDecision(LogLevel::Warning, "minion-avoided",
                               {{"minion", minion.report.incarnation.id}, {"failures", minion.failuresInRow}});
        }
    } else if (ended.end == RunEnd::Done) {
        minion.failuresInRow = 0;
        // A run that is far from its data, or resumed, says nothing about the minion or the task.
        if (isKnown && job && found->second.startedAt != TimePoint{} && job->task(ended.task)->checkpoint.empty()
            && minion.hasLabel(job->spec(ended.task.step.step).data_rack())) {
            const auto took = now_.time - found->second.startedAt;
            speeds_.learn(minion.kind(), took, found->second.expected);
            learnRunTime(*job, ended.task, took);
        }
    }
    if (ended.end != RunEnd::Done) {
        ports_.logDecision(LogLevel::Info, "run-ended",
                           {{"task", ended.task.toString()},
                            {"run", ended.run},
                            {"minion", minion.report.incarnation.id},
                            {"how", static_cast<int>(ended.end)}});
    }
    if (!job) {
        if (isKnown)
            minion.remove(ended.task);
        return;
    }
    if (isKnown && !ended.checkpoint.empty())
        found->second.checkpoint = ended.checkpoint;
    if (isKnown || ended.end == RunEnd::Done)
        proposeEnd(command, minion, ended.task, ended.run, toWire(ended.end));
}

void JobScheduler::endUnlisted(Minion &minion, const LeaseAnswer &answer, TimePoint sent, Wire::JobCommand &command)
{
    std::vector<TaskName> gone;
    for (auto &[task, run] : minion.runs) {
        const bool settled = run.phase == RunPhase::Adopted || run.phase == RunPhase::Running
            || (run.phase == RunPhase::Stopping && run.stopConfirmed);
        if (!settled || run.phaseSince >= sent)
            continue;
        const auto &name = task;
        const auto number = run.run;
        const auto listed = std::any_of(answer.active.begin(), answer.active.end(), [&](const ActiveRun &active) {
            return active.run == number && active.task == name;
        });
        if (!listed)
            gone.push_back(task);
    }
    for (const auto &task : gone) {
        const auto run = minion.runs.at(task).run;
        ports_.logDecision(LogLevel::Info, "run-not-listed",
                           {{"task", task.toString()}, {"run", run}, {"minion", minion.report.incarnation.id}});
        if (store_.job(task.step.job))
            proposeEnd(command, minion, task, run, Wire::JOB_RUN_END_NOT_STARTED);
        else
            minion.remove(task);
    }
}

} // namespace Pistachio::Jobs
