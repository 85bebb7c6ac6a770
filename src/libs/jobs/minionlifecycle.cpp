// Minions over time: their reports, new incarnations, departures and losses, and what becomes of their runs.

#include "jobs/demand.h"
#include "jobs/endproof.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/minionrecord.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{

constexpr Duration leaveLimit = 750ms; ///< minions repeat a deregistration that isn't confirmed within a second
constexpr Duration lostRunRetry = 200ms; ///< several times a commit
constexpr int missingReports = 4; ///< before a minion is forgotten; counted from its last report and lease

/// \return whether a run may work, as its start may have been sent and its end isn't proposed.
bool mayWork(const Run &run)
{
    return run.phase != RunPhase::Proposed && run.phase != RunPhase::Ending;
}

} // namespace

void JobScheduler::minionReported(const EventTime &now, const MinionReport &report,
                                  const std::function<void(bool)> &stored)
{
    now_ = now;
    std::vector<MinionIncarnation> replaced;
    const auto effect = fleet_.report(report, replaced);
    if (auto *known = effect == ReportEffect::Stale ? nullptr : fleet_.find(report.incarnation))
        known->lastReportAt = now.time;
    if (effect == ReportEffect::Stale) {
        ports_.logDecision(LogLevel::Info, "minion-report-stale",
                           {{"minion", report.incarnation.id},
                            {"born", report.incarnation.bornUnixMs},
                            {"sequence", report.sequence}});
        stored(true);
        return;
    }
    for (const auto &incarnation : replaced) {
        if (auto *minion = fleet_.find(incarnation)) {
            minion->isReplaced = incarnation.id != report.incarnation.id;
            suspendMinion(*minion, "another minion or incarnation reports under its address or id");
        }
    }
    if (effect == ReportEffect::Unchanged) {
        stored(true);
        return;
    }
    auto &waiting = reportsToStore_[report.incarnation.id];
    waiting.push_back(stored);
    if (waiting.size() > 1 && replaced.empty() && !report.draining)
        return;
    ports_.logDecision(LogLevel::Info, "minion-reported",
                       {{"minion", report.incarnation.id},
                        {"born", report.incarnation.bornUnixMs},
                        {"address", report.address},
                        {"service", report.service},
                        {"sequence", report.sequence},
                        {"draining", report.draining}});
    Wire::JobCommand command;
    for (const auto &incarnation : replaced) {
        const auto *minion = fleet_.find(incarnation);
        if (minion && minion->isReplaced && !hasCurrentRun(*minion))
            command.add_gone_minions(incarnation.id);
    }
    *command.add_minions() = toWire(report);
    ports_.propose(std::move(command), {});
}

void JobScheduler::minionRecorded(const Wire::JobMinion &minion)
{
    if (!leading_)
        return;
    auto report = toReport(minion);
    auto *known = fleet_.find(report.incarnation);
    if (known) {
        known->report.draining = known->report.draining || report.draining;
    } else {
        const auto *replaced = fleet_.find(minion.id());
        const auto earlier = replaced ? *replaced : Minion();
        auto &added = addMinion(std::move(report));
        if (replaced)
            awaitFence(added, false);
        added.leaseBound.grant(earlier.leaseBound.grantedUntil());
        takeOverRuns(added, earlier.runs);
        takeOverLostRuns(added);
        advice_.removeMinion(minion.id());
    }
    planNeeded_ = true;
    const auto waiting = reportsToStore_.extract(minion.id());
    if (waiting.empty())
        return;
    for (const auto &stored : waiting.mapped())
        stored(true);
}

Minion &JobScheduler::addMinion(MinionReport report)
{
    const auto id = report.incarnation.id;
    fleet_.add(std::move(report));
    auto &added = *fleet_.find(id);
    speeds_.add(added.report.incarnation, added.report.service, added.kind());
    added.speed = speeds_.estimate(id);
    added.fence = {fencingToken_, ++incarnations_};
    added.lastReportAt = now_.time;
    added.leaseBound.grant(now_.time + longestTime(settings_.lease));
    return added;
}

void JobScheduler::takeOverRuns(Minion &minion, const std::map<TaskName, Run> &earlier)
{
    for (const auto &[task, run] : earlier) {
        if (isCurrentRun(task, run))
            stopInLaterIncarnation(minion, task, run);
    }
}

void JobScheduler::takeOverLostRuns(Minion &minion)
{
    std::erase_if(lostRuns_, [this, &minion](const auto &entry) {
        const auto &[task, number] = entry.first;
        Run run;
        run.run = number;
        if (!isCurrentRun(task, run) || !isAssignedTo(task, number, minion.report.incarnation.id))
            return false;
        const auto &step = store_.job(task.step.job)->spec(task.step.step);
        run.reserved = reservedBy(step);
        run.spareMilliCores = spareMilliCoresOf(step);
        run.unansweredStarts = 1; // not known any more
        stopInLaterIncarnation(minion, task, run);
        return true;
    });
}

/// The expiry in such an order is a time on another clock, so the minion cuts the lease down to the longest one.
/// Without a start among the orders, what ran in the incarnation before has ended with it.
void JobScheduler::awaitFence(Minion &minion, bool mayStart) const
{
    const auto delay = mayStart ? longestOrderDelay : Duration::zero();
    minion.leaseBound.awaitFence(now_.time + delay + longestTime(settings_.longestLease));
}

/// A repeated start may have reached the later incarnation, or reach it yet; after the stop it is refused there.
void JobScheduler::stopInLaterIncarnation(Minion &minion, const TaskName &task, const Run &earlier)
{
    Run run;
    run.run = earlier.run;
    run.reserved = earlier.reserved;
    run.spareMilliCores = earlier.spareMilliCores;
    run.checkpoint = earlier.checkpoint;
    run.expected = earlier.expected;
    run.isOfEarlierIncarnation = true;
    run.isUnlisted = true;
    run.unansweredStarts = earlier.unansweredStarts;
    run.phase = RunPhase::Adopted;
    awaitFence(minion, run.unansweredStarts > 0);
    sendStop(minion, task, minion.add(task, run), StopReason::EarlierIncarnation);
}

void JobScheduler::minionLeft(const EventTime &now, const MinionIncarnation &incarnation,
                              std::function<void(bool)> confirmed)
{
    now_ = now;
    auto *minion = leading_ ? fleet_.find(incarnation.id) : nullptr;
    // A minion drains before it leaves. One that doesn't drain is a later incarnation than the one that has left.
    const bool isMeant
        = minion && (incarnation.bornUnixMs == 0 ? minion->report.draining : minion->report.incarnation == incarnation);
    ports_.logDecision(LogLevel::Info, isMeant ? "minion-leaves" : "minion-leave-ignored",
                       {{"minion", incarnation.id},
                        {"born", incarnation.bornUnixMs},
                        {"known", minion ? minion->report.incarnation.bornUnixMs : 0},
                        {"runs", minion ? minion->runs.size() : 0}});
    if (!isMeant) {
        confirmed(leading_);
        return;
    }
    minion->report.draining = true;
    minion->isLeaving = true;
    for (auto &[task, run] : minion->runs)
        sendStop(*minion, task, run, StopReason::MinionLeaves);
    pendingLeaves_.push_back({minion->report.incarnation, now.time, std::move(confirmed)});
    confirmLeaves();
}

/// Whether the confirmation arrives isn't known, so what still runs there is waited for like on a silent minion.
void JobScheduler::confirmLeaves()
{
    for (auto leave = pendingLeaves_.begin(); leave != pendingLeaves_.end();) {
        const auto *minion = fleet_.find(leave->minion);
        const bool isOver = !minion || minion->runs.empty();
        if (!isOver && now_.time < leave->since + leaveLimit) {
            ++leave;
            continue;
        }
        if (minion && isOver)
            proposeMinionRemoval(leave->minion.id);
        leave->confirmed(true);
        leave = pendingLeaves_.erase(leave);
    }
}

void JobScheduler::suspendMinion(Minion &minion, std::string_view reason)
{
    if (minion.leaseConfirmed) {
        ports_.logDecision(LogLevel::Warning, "minion-suspended",
                           {{"minion", minion.report.incarnation.id},
                            {"address", minion.report.address},
                            {"reason", reason},
                            {"runs", minion.runs.size()}});
    }
    minion.suspend();
}

void JobScheduler::expireLeases()
{
    const auto removalDelay = missingReports * settings_.reportInterval;
    std::vector<std::string> removable;
    for (auto &[id, minion] : fleet_.minions()) {
        if (now_.time < minion.leaseBound.knownIncarnationEnd())
            continue;
        const bool isOver = now_.time >= minion.leaseBound.end();
        if (isOver && !minion.leaseConfirmed && !hasCurrentRun(minion)
            && now_.time > std::max(minion.lastReportAt, minion.leaseBound.grantedUntil()) + removalDelay) {
            removable.push_back(id);
            continue;
        }
        const bool hasEndedRun
            = std::any_of(minion.runs.begin(), minion.runs.end(), [this, &minion = minion](const auto &entry) {
                  return mayWork(entry.second) && EndProof::leaseOver(minion, entry.second, now_.time);
              });
        const bool isSuspect
            = hasEndedRun || (isOver && minion.leaseConfirmed && now_.time > minion.lastContactAt + settings_.lease);
        const auto expiredAt = isOver ? minion.leaseBound.end() : minion.leaseBound.knownIncarnationEnd();
        if (isSuspect && staysSilentAfterExpiry(minion, expiredAt))
            endRunsOf(minion);
    }
    for (const auto &id : removable)
        proposeMinionRemoval(id);
}

bool JobScheduler::staysSilentAfterExpiry(Minion &minion, TimePoint expiredAt)
{
    if (minion.renewalOutstanding)
        return false;
    // Answers from before may have been lost, or may not have been read in time if this process is busy.
    const bool wasAsked = minion.renewalSentAt >= expiredAt && minion.renewalFailures > 0;
    const bool isOverdue = now_.time >= expiredAt + settings_.lease;
    if (!wasAsked && !isOverdue)
        sendLeaseRenewal(minion, Duration::zero());
    // A minion that still reports has only been missed, and what it has done can be had by asking it again.
    const bool isAlive = minion.lastReportAt + settings_.reportInterval >= expiredAt;
    const bool mayBeAskedAgain = isAlive && now_.time < expiredAt + settings_.lease / 2;
    return isOverdue || (wasAsked && !mayBeAskedAgain);
}

void JobScheduler::endRunsOf(Minion &minion)
{
    std::size_t lost = 0;
    Wire::JobCommand command;
    for (auto &[task, run] : minion.runs) {
        const auto proof = mayWork(run) ? EndProof::leaseOver(minion, run, now_.time) : std::nullopt;
        if (!proof)
            continue;
        proposeEnd(command, minion, task, run.run, Wire::JOB_RUN_END_LOST, *proof);
        ports_.logDecision(LogLevel::Info, "run-lost",
                           {{"task", task.toString()},
                            {"run", run.run},
                            {"minion", minion.report.incarnation.id},
                            {"reason", proof->name()},
                            {"running_ms", run.startedAt == TimePoint{} ? -1 : (now_.time - run.startedAt) / 1ms},
                            {"checkpoint", !run.checkpoint.empty()}});
        ++lost;
    }
    minion.suspend();
    ports_.logDecision(
        LogLevel::Warning, "minion-lost",
        {{"minion", minion.report.incarnation.id},
         {"address", minion.report.address},
         {"runs", lost},
         {"silent_ms", minion.lastContactAt == TimePoint{} ? -1 : (now_.time - minion.lastContactAt) / 1ms}});
    if (lost > 0)
        ports_.propose(std::move(command), {});
}

void JobScheduler::proposeMinionRemoval(const std::string &id)
{
    auto *minion = fleet_.find(id);
    if (!minion || minion->removalProposed)
        return;
    minion->removalProposed = true;
    ports_.logDecision(
        LogLevel::Info, "minion-forgotten",
        {{"minion", id}, {"address", minion->report.address}, {"silent_ms", (now_.time - minion->lastReportAt) / 1ms}});
    Wire::JobCommand command;
    command.add_gone_minions(id);
    ports_.propose(std::move(command), [this, id](bool applied) {
        if (auto *known = applied ? nullptr : fleet_.find(id))
            known->removalProposed = false;
    });
}

void JobScheduler::minionRemoved(const std::string &minion)
{
    if (!leading_)
        return;
    if (const auto *removed = fleet_.find(minion))
        keepRunsOf(*removed);
    advice_.removeMinion(minion);
    speeds_.remove(minion);
    fleet_.remove(minion);
}

void JobScheduler::keepRunsOf(const Minion &removed)
{
    for (const auto &[task, run] : removed.runs) {
        if (isCurrentRun(task, run))
            lostRuns_[{task, run.run}] = removed.leaseBound.end();
    }
}

bool JobScheduler::isCurrentRun(const TaskName &task, const Run &run) const
{
    const auto *job = store_.job(task.step.job);
    const auto *record = job ? job->task(task) : nullptr;
    return record && record->isAssigned(run.run);
}

bool JobScheduler::isAssignedTo(const TaskName &task, std::uint64_t run, const std::string &minion) const
{
    bool result = false;
    store_.job(task.step.job)
        ->task(task)
        ->forEachAssigned([&](std::uint64_t number, const std::string &id, std::int64_t /*born*/) {
            result = result || (number == run && id == minion);
        });
    return result;
}

bool JobScheduler::hasCurrentRun(const Minion &minion) const
{
    return std::any_of(minion.runs.begin(), minion.runs.end(),
                       [this](const auto &entry) { return isCurrentRun(entry.first, entry.second); });
}

void JobScheduler::proposeLostRuns()
{
    if (lostRuns_.empty() || now_.time < lostRunsProposedAt_ + lostRunRetry)
        return;
    lostRunsProposedAt_ = now_.time;
    Wire::JobCommand command;
    for (auto entry = lostRuns_.begin(); entry != lostRuns_.end();) {
        const auto &[task, run] = entry->first;
        const auto *job = store_.job(task.step.job);
        const auto *record = job ? job->task(task) : nullptr;
        if (!record || !record->isAssigned(run)) {
            entry = lostRuns_.erase(entry);
            continue;
        }
        if (!EndProof::leaseOver(entry->second, now_.time)) {
            ++entry;
            continue;
        }
        auto &end = *command.add_ends();
        fill(*end.mutable_task(), task);
        end.set_run(run);
        end.set_how(Wire::JOB_RUN_END_LOST);
        ++entry;
    }
    if (command.ends_size() == 0)
        return;
    ports_.logDecision(LogLevel::Info, "runs-without-minion", {{"runs", command.ends_size()}});
    ports_.propose(std::move(command), {});
}

} // namespace Pistachio::Jobs
