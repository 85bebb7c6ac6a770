// Handles answers to lease renewals: active runs, ended runs and runs that are missing from the lists.

#include "jobs/demand.h"
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

namespace
{

constexpr Duration maxAnswerDelay = 400ms; ///< beyond the wait of a renewal; the client times out earlier
constexpr std::uint32_t failuresBeforeAvoiding = 3;
constexpr Duration avoidAfterFailures = 8s;
constexpr Duration renewalRetryAfterExpiry = 1s; ///< of a minion without runs whose lease has expired
constexpr Duration unlistedLimit = 1s; ///< of a run that may be among those that a minion's list lacks

Wire::JobRunEnd toWire(RunEnd end)
{
    switch (end) {
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
    auto *minion = orderedMinion(order);
    if (!minion)
        return;
    minion->renewalOutstanding = false;
    recordContact(*minion, answer.outcome);
    minion->renewals.answered(now.time, answer.outcome,
                              answer.ended.empty() ? minion->seenEnd : answer.ended.back().number);
    const bool incarnationDiffers
        = answer.bornUnixMs != 0 && order.minion.bornUnixMs != 0 && answer.bornUnixMs != order.minion.bornUnixMs;
    // The later incarnation may have got a repeated start, and the lease of this renewal.
    const bool mayHaveLease
        = minion->leaseConfirmed || order.leaseExpiresAtMs || minion->leaseBound.laterIncarnationUntil() == TimePoint{};
    if (answer.outcome == OrderOutcome::IncarnationMismatch || incarnationDiffers)
        suspendMinion(*minion, "another minion or incarnation answers at its address");
    if (incarnationDiffers && mayHaveLease)
        minion->leaseBound.assumeLaterIncarnation(now.time + longestTime(settings_.longestLease));
    if (answer.outcome != OrderOutcome::Done || incarnationDiffers) {
        const bool isExpired = now.time > minion->leaseBound.grantedUntil() && minion->runs.empty();
        const auto delay = backoff_.delay(++minion->renewalFailures);
        minion->nextRenewal = now.time + (isExpired ? renewalRetryAfterExpiry : delay);
        if (answer.outcome == OrderOutcome::NotSent) {
            minion->renewalSentAt = {};
            return;
        }
        ports_.logDecision(LogLevel::Info, "lease-renewal-not-confirmed",
                           {{"minion", order.minion.id},
                            {"outcome", toString(answer.outcome)},
                            {"silent_ms", (now.time - minion->lastContactAt) / 1ms}});
        return;
    }
    if (answer.clockMs)
        minion->recordClock(now.time, *answer.clockMs);
    const bool first = !minion->leaseConfirmed;
    minion->leaseConfirmed = true;
    disproveLaterIncarnation(*minion);
    if (minion->leaseBound.awaitsFence())
        minion->leaseBound.fenceSeen(now.time + longestTime(settings_.longestLease));
    minion->lastContactAt = now.time;
    minion->nextRenewal = now.time;
    minion->renewalFailures = 0;
    planNeeded_ = planNeeded_ || first;
    // An answer read after this process was suspended shows the progress from before the suspension.
    const bool isRecent = now.time <= minion->renewalSentAt + order.wait + maxAnswerDelay;
    for (const auto &active : answer.active)
        processActiveRun(*minion, active, isRecent);
    if (answer.bornUnixMs == minion->report.incarnation.bornUnixMs)
        confirmRuns(*minion);
    // Ends that are listed beside proposed ones are listed again once those are committed.
    if (!minion->endsProposed)
        processEnds(*minion, answer);
    if (isRecent)
        checkSpeed(*minion);
    adjustThrottles(*minion);
}

/// What was sent before the renewal has reached this incarnation or nothing.
void JobScheduler::disproveLaterIncarnation(Minion &minion) const
{
    const bool isAskedLater
        = minion.renewalSentAt + longestTime(settings_.longestLease) >= minion.leaseBound.laterIncarnationUntil();
    if (isAskedLater)
        minion.leaseBound.disproveLaterIncarnation();
}

void JobScheduler::processEnds(Minion &minion, const LeaseAnswer &answer)
{
    Wire::JobCommand command;
    for (const auto &ended : answer.ended)
        processEndedRun(minion, ended, command);
    endStoppedRuns(minion, answer, minion.renewalSentAt, command);
    stopUnlistedRuns(minion, answer, minion.renewalSentAt);
    if (minion.runs.empty() && answer.ended.empty())
        minion.nextRenewal = now_.time + idleRenewalInterval();
    if (!answer.ended.empty())
        minion.seenEnd = std::max(minion.seenEnd, answer.ended.back().number);
    if (command.ends_size() == 0) {
        minion.acknowledgedEnd = minion.seenEnd;
        return;
    }
    minion.endsProposed = true;
    const auto incarnation = minion.report.incarnation;
    ports_.propose(std::move(command), [this, incarnation, last = minion.seenEnd](bool applied) {
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

void JobScheduler::processActiveRun(Minion &minion, const ActiveRun &active, bool isRecent)
{
    auto found = minion.runs.find(active.task);
    const auto *job = store_.job(active.task.step.job);
    if (found == minion.runs.end() || found->second.run < active.run) {
        if (found != minion.runs.end())
            return;
        // Not the task's current run in the store, such as one whose start was delayed.
        Run orphan;
        orphan.run = active.run;
        orphan.isOrphan = true;
        orphan.phase = RunPhase::Running;
        if (job && active.task.step.step < job->stepsPerOccurrence()) {
            orphan.reserved = reservedBy(job->spec(active.task.step.step));
            orphan.spareMilliCores = spareMilliCoresOf(job->spec(active.task.step.step));
            countRun(*job, active.task, active.run);
        }
        minion.add(active.task, orphan);
        found = minion.runs.find(active.task);
        ports_.logDecision(
            LogLevel::Warning, "orphan-run",
            {{"task", active.task.toString()}, {"run", active.run}, {"minion", minion.report.incarnation.id}});
        sendStop(minion, active.task, found->second, StopReason::Orphan);
        return;
    }
    auto &run = found->second;
    if (run.run != active.run)
        return;
    run.listedAt = now_.time;
    if (isRecent && active.hasProgress)
        recordProgress(minion, active, run);
    if (active.hasProgress)
        run.measurement = active.measurement;
    if (!active.checkpoint.empty())
        run.checkpoint = active.checkpoint;
    if (run.phase == RunPhase::Adopted || run.phase == RunPhase::Starting) {
        begunJobs_.insert(active.task.step.job);
        run.phase = RunPhase::Running;
        run.phaseSince = now_.time;
        run.startedAt = now_.time;
        run.progressAt = now_.time;
        if (job)
            copies_.runStarted(*job, active.task, run, minion);
        if (job && job->phase() != JobPhase::Active)
            sendStop(minion, active.task, run, StopReason::JobEnded);
    }
}

void JobScheduler::processEndedRun(Minion &minion, const EndedRun &ended, Wire::JobCommand &command)
{
    if (ended.number <= minion.seenEnd)
        return;
    const auto *job = store_.job(ended.task.step.job);
    const auto found = minion.runs.find(ended.task);
    const bool isKnown = found != minion.runs.end() && found->second.run == ended.run;
    if (ended.end == RunEnd::Failed && minion.lastFailedJob != ended.task.step.job) {
        minion.lastFailedJob = ended.task.step.job;
        if (++minion.consecutiveFailures >= failuresBeforeAvoiding) {
            minion.avoidUntil = now_.time + avoidAfterFailures;
            ports_.logDecision(LogLevel::Warning, "minion-avoided",
                               {{"minion", minion.report.incarnation.id}, {"failures", minion.consecutiveFailures}});
        }
    } else if (ended.end == RunEnd::Done) {
        minion.consecutiveFailures = 0;
        // The run time of a task that is long-running, far from its data, or was resumed is not representative.
        if (isKnown && job && !job->spec(ended.task.step.step).long_running() && found->second.startedAt != TimePoint{}
            && job->task(ended.task)->checkpoint.empty()
            && minion.hasLabel(job->spec(ended.task.step.step).data_rack())) {
            learnRunTime(*job, ended.task, minion, found->second, now_.time - found->second.startedAt);
        }
    }
    if (ended.end != RunEnd::Done) {
        ports_.logDecision(LogLevel::Info, "run-ended",
                           {{"task", ended.task.toString()},
                            {"run", ended.run},
                            {"minion", minion.report.incarnation.id},
                            {"how", static_cast<int>(ended.end)}});
    }
    if (!job || !job->task(ended.task)) {
        if (isKnown)
            minion.remove(ended.task);
        return;
    }
    if (isKnown && !ended.checkpoint.empty())
        found->second.checkpoint = ended.checkpoint;
    if (isKnown || ended.end == RunEnd::Done)
        proposeEnd(command, minion, ended.task, ended.run, toWire(ended.end), EndProof::listed());
}

void JobScheduler::endStoppedRuns(Minion &minion, const LeaseAnswer &answer, TimePoint asked, Wire::JobCommand &command)
{
    std::vector<std::pair<TaskName, EndProof>> over;
    for (const auto &[task, run] : minion.runs) {
        if (const auto proof = EndProof::stopped(task, run, answer, asked, settings_.stopTimeout))
            over.emplace_back(task, *proof);
    }
    for (const auto &[task, proof] : over) {
        const auto run = minion.runs.at(task).run;
        const auto *job = store_.job(task.step.job);
        if (job && job->task(task))
            proposeEnd(command, minion, task, run, Wire::JOB_RUN_END_NOT_STARTED, proof);
        else
            minion.remove(task);
    }
}

/// That a run is missing from the lists doesn't prove that it has ended or won't begin, so it is stopped first.
void JobScheduler::stopUnlistedRuns(Minion &minion, const LeaseAnswer &answer, TimePoint asked)
{
    for (auto &[task, run] : minion.runs) {
        const bool isSettled = run.phase == RunPhase::Adopted || run.phase == RunPhase::Running;
        if (!isSettled || run.phaseSince >= asked || isListedActive(task, run, answer))
            continue;
        // A run that couldn't be read may be listed by the next answer.
        const bool isOverdue = !answer.hasMoreEnds && asked > std::max(run.listedAt, run.phaseSince) + unlistedLimit;
        if (!isAbsent(task, run, answer) && !isOverdue)
            continue;
        run.isUnlisted = true;
        sendStop(minion, task, run, StopReason::Unlisted);
    }
}

} // namespace Pistachio::Jobs
