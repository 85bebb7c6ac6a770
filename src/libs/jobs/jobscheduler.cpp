#include "jobs/jobscheduler.h"

#include "jobs/demand.h"
#include "jobs/endproof.h"
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

constexpr Duration planInterval = 200ms; ///< replans without changes, as tickets expire and minions become usable again
constexpr Duration backlogInterval = 25ms; ///< between rounds with a backlog; saves processor time but delays starts

constexpr Duration speedsInterval = 1s; ///< between updates of what is derived from all speeds
constexpr Duration speedsStoreInterval = 5s; ///< what a new leader may lack of the speeds
} // namespace

JobScheduler::JobScheduler(JobStore &store, SchedulerPorts &ports, const SchedulerSettings &settings)
    : store_(store)
    , ports_(ports)
    , settings_(settings)
    , copies_(store, fleet_, queue_, *this, ports)
{
    store_.setObserver(this);
}

JobScheduler::~JobScheduler()
{
    store_.setObserver(nullptr);
}

void JobScheduler::becomeLeader(const EventTime &now, std::uint64_t fencingToken)
{
    now_ = now;
    leading_ = true;
    fencingToken_ = fencingToken;
    incarnations_ = 0;
    backoff_ = RetryBackoff(fencingToken);
    restored();
    ports_.logDecision(LogLevel::Info, "leadership-gained",
                       {{"fence", fencingToken},
                        {"jobs", store_.jobs().size()},
                        {"minions", fleet_.minions().size()},
                        {"configuration", store_.configuration().version()}});
}

void JobScheduler::clearState()
{
    fleet_.clear();
    queue_.clear();
    advice_.clear();
    ticketMargin_.clear();
    futureTasks_.clear();
    finishedJobs_.clear();
    begunJobs_.clear();
    movedTasks_.clear();
    answerLosses_.clear();
    durations_.clearSteps();
    preemptions_.clear();
    lostRuns_.clear();
    confirmedRuns_.clear();
    timeSpent_.clear();
    teamUsage_.clear();
    teamOrder_.clear();
    teamRates_.clear();
    speeds_.clear();
    copies_.clear();
}

void JobScheduler::loseLeadership()
{
    if (!leading_)
        return;
    leading_ = false;
    clearState();
    for (auto &[id, waiting] : std::exchange(reportsToStore_, {})) {
        for (const auto &stored : waiting)
            stored(false);
    }
    for (const auto &leave : std::exchange(pendingLeaves_, {}))
        leave.confirmed(false);
    ports_.logDecision(LogLevel::Info, "leadership-lost", {{"fence", fencingToken_}});
}

void JobScheduler::restored()
{
    if (!leading_)
        return;
    clearState();
    teamUsage_.configure(store_.teams());
    if (teamUsage_.hasTeams()) {
        teamRates_.rebuild(now_.time, now_.unixMs, store_.jobs(),
                           [this](const std::string &team) { return teamUsage_.weight(teamUsage_.numberOf(team)); });
    }
    for (const auto &[id, minion] : store_.minions())
        addMinion(toReport(minion));
    for (const auto &[id, speed] : store_.speeds())
        speeds_.restore(speed);
    speedsProposedAt_ = now_.time;
    refreshSpeeds();
    for (const auto &[id, job] : store_.jobs()) {
        adoptRuns(job);
        if (job.phase() == JobPhase::Active)
            enqueueJob(job);
        else
            finishedJobs_[now_.time + settings_.finishedRetention].push_back(id);
    }
    // The present incarnation may have got orders for the one before until it answered the earlier leader.
    for (const auto &[id, minion] : store_.minions()) {
        auto &known = *fleet_.find(id);
        if (minion.is_restarted() && !known.hadUsualLease)
            awaitFence(known, false);
    }
    planNeeded_ = true;
}

void JobScheduler::adoptRuns(const Job &job)
{
    if (!job.hasAssignedTasks())
        return;
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        for (std::uint32_t number = 0; number < job.stepsPerOccurrence(); ++number) {
            const auto &tasks = job.step(occurrence, number)->tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const TaskName name{{job.id(), occurrence, number}, index};
                tasks[index].forEachAssigned([&](std::uint64_t run, const std::string &minion, std::int64_t born) {
                    adoptRun(job, name, run, {minion, born});
                });
            }
            stopPartOfGang(job, {job.id(), occurrence, number});
        }
    }
}

void JobScheduler::adoptRun(const Job &job, const TaskName &task, std::uint64_t number,
                            const MinionIncarnation &incarnation)
{
    countRun(job, task, number);
    const auto &record = *job.task(task);
    const bool isConfirmed = record.isRunConfirmed && record.run == number;
    const auto leasesEnd = now_.time + longestTime(isConfirmed ? settings_.lease : settings_.longestLease);
    auto *minion = fleet_.find(incarnation.id);
    if (!minion) {
        lostRuns_[{task, number}] = leasesEnd;
        return;
    }
    if (!isConfirmed)
        minion->leaseBound.assumeLaterIncarnation(leasesEnd);
    Run run;
    run.run = number;
    run.reserved = reservedBy(job.spec(task.step.step));
    run.spareMilliCores = spareMilliCoresOf(job.spec(task.step.step));
    run.expected = expectedRunTime(job, task.step, *minion);
    run.phase = RunPhase::Adopted;
    run.phaseSince = now_.time;
    run.isConfirmed = isConfirmed;
    run.unansweredStarts = isConfirmed ? 0 : 1; // the earlier leader knew
    run.awaitsRecord = job.spec(task.step.step).long_running() && !isConfirmed;
    if (minion->report.incarnation != incarnation) {
        stopInLaterIncarnation(*minion, task, run);
        return;
    }
    minion->hadUsualLease = minion->hadUsualLease || isConfirmed;
    auto &added = minion->add(task, run);
    // The earlier leader may not have stopped what a completed task left over.
    if (record.state == TaskState::Done)
        sendStop(*minion, task, added, StopReason::TaskDone);
}

TimePoint JobScheduler::acceptedTime(const Job &job, std::uint32_t occurrence) const
{
    const auto due = job.dueUnixMs(occurrence);
    const auto from = due > 0 ? due : job.submission().accepted_unix_ms();
    const auto age = std::max<std::int64_t>(0, now_.unixMs - from);
    return now_.time - std::chrono::milliseconds(age);
}

StartDeadlines JobScheduler::deadlinesOf(const Job &job, const Wire::JobQueue &queue, const StepName &step) const
{
    return startDeadlines(job, queue, step, acceptedTime(job, step.occurrence), durations_);
}

void JobScheduler::jobAccepted(const Job &job)
{
    if (!leading_)
        return;
    teamRates_.jobAccepted(job.id());
    enqueueJob(job);
}

void JobScheduler::enqueueJob(const Job &job)
{
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        const auto due = job.dueUnixMs(occurrence);
        for (std::uint32_t number = 0; number < job.stepsPerOccurrence(); ++number) {
            const auto &record = *job.step(occurrence, number);
            if (record.isDone() || !job.areDependenciesDone(occurrence, number))
                continue;
            for (std::uint32_t index = 0; index < record.tasks.size(); ++index) {
                if (record.tasks[index].state != TaskState::Waiting)
                    continue;
                const TaskName task{{job.id(), occurrence, number}, index};
                if (due > now_.unixMs)
                    futureTasks_[due].push_back(task);
                else
                    enqueue(job, task);
            }
        }
    }
}

void JobScheduler::enqueue(const Job &job, const TaskName &task)
{
    const auto *queue = store_.queue(job.submission().queue());
    if (!queue)
        return;
    const auto &step = job.spec(task.step.step);
    queue_.add(now_.time, queue->service(), step, task, deadlinesOf(job, *queue, task.step),
               {teamUsage_.numberOf(job.submission().team()), job.submission().beyond_rate(), queue->priority() == 0});
    services_[queue->service()] = now_.time;
    planNeeded_ = true;
}

void JobScheduler::enqueueDueTasks()
{
    while (!futureTasks_.empty() && futureTasks_.begin()->first <= now_.unixMs) {
        const auto tasks = std::move(futureTasks_.begin()->second);
        futureTasks_.erase(futureTasks_.begin());
        for (const auto &task : tasks) {
            const auto *job = store_.job(task.step.job);
            if (job && job->phase() == JobPhase::Active)
                enqueue(*job, task);
        }
    }
}

bool JobScheduler::hasBegun(const Job &job) const
{
    return job.hasBegun() || begunJobs_.contains(job.id());
}

std::uint32_t JobScheduler::pendingJobs(const std::string &queueKey) const
{
    std::uint32_t count = 0;
    for (const auto &[id, job] : store_.jobs()) {
        if (job.phase() == JobPhase::Active && job.submission().queue() == queueKey
            && job.submission().spec().repeat_count() == 0 && !hasBegun(job))
            ++count;
    }
    return count;
}

void JobScheduler::proposeEnd(Wire::JobCommand &command, Minion &minion, const TaskName &task, std::uint64_t run,
                              int runEnd, const EndProof &proof)
{
    if (!proof.isListed())
        logConcludedEnd(minion, task, run, proof);
    auto &end = *command.add_ends();
    fill(*end.mutable_task(), task);
    end.set_run(run);
    end.set_how(static_cast<Wire::JobRunEnd>(runEnd));
    end.set_minion(minion.report.incarnation.id);
    end.set_minion_born_unix_ms(minion.report.incarnation.bornUnixMs);
    const auto found = minion.runs.find(task);
    if (found == minion.runs.end() || found->second.run != run)
        return;
    end.set_checkpoint(found->second.checkpoint);
    found->second.phase = RunPhase::Ending;
    found->second.phaseSince = now_.time;
}

void JobScheduler::logConcludedEnd(const Minion &minion, const TaskName &task, std::uint64_t run, const EndProof &proof)
{
    const auto found = minion.runs.find(task);
    const auto known = found != minion.runs.end() && found->second.run == run ? found->second : Run();
    const auto age = [this](TimePoint time) { return time == TimePoint{} ? -1 : (now_.time - time) / 1ms; };
    ports_.logDecision(LogLevel::Info, "run-end-concluded",
                       {{"task", task.toString()},
                        {"run", run},
                        {"minion", minion.report.incarnation.id},
                        {"proof", proof.name()},
                        {"stop_reason", toString(known.stopReason)},
                        {"starts", known.attempts},
                        {"unanswered_starts", known.unansweredStarts},
                        {"fence", minion.fence.number()},
                        {"started_ms", age(known.startedAt)},
                        {"listed_ms", age(known.listedAt)},
                        {"phase_ms", age(known.phaseSince)},
                        {"silent_ms", age(minion.lastContactAt)},
                        {"lease_over_ms", age(minion.leaseEndOf(known))},
                        {"renewals", minion.renewals.toString(now_.time)}});
}

void JobScheduler::proposalFailed(const EventTime &now, const Wire::JobCommand &command)
{
    now_ = now;
    if (!leading_)
        return;
    ports_.logDecision(LogLevel::Warning, "proposal-failed",
                       {{"assignments", command.assignments_size()}, {"ends", command.ends_size()}});
    for (const auto &assignment : command.assignments())
        revertAssignment(assignment);
    for (const auto &end : command.ends())
        revertEnd(end);
    for (const auto &confirmation : command.confirmed_runs())
        revertConfirmation(confirmation);
    for (const auto &minion : command.minions()) {
        const auto waiting = reportsToStore_.extract(minion.id());
        if (waiting.empty())
            continue;
        for (const auto &stored : waiting.mapped())
            stored(false);
    }
}

/// The minion reports the end again, or the loss is detected again.
void JobScheduler::revertEnd(const Wire::JobEnd &end)
{
    auto *minion = fleet_.find(MinionIncarnation{end.minion(), end.minion_born_unix_ms()});
    const auto found = minion ? minion->runs.find(toTaskName(end.task())) : std::map<TaskName, Run>::iterator();
    if (minion && found != minion->runs.end() && found->second.run == end.run()
        && found->second.phase == RunPhase::Ending)
        found->second.phase = found->second.stopConfirmed ? RunPhase::Stopping : RunPhase::Running;
}

void JobScheduler::removeFinishedJobs()
{
    if (finishedJobs_.empty() || finishedJobs_.begin()->first > now_.time)
        return;
    Wire::JobCommand command;
    for (const auto &id : finishedJobs_.begin()->second) {
        const auto *job = store_.job(id);
        if (job && !job->hasAssignedTasks())
            command.add_forgotten_jobs(id);
        else if (job)
            finishedJobs_[now_.time + settings_.finishedRetention].push_back(id);
    }
    finishedJobs_.erase(finishedJobs_.begin());
    if (command.forgotten_jobs_size() > 0)
        ports_.propose(std::move(command), {});
}

void JobScheduler::tick(const EventTime &now)
{
    now_ = now;
    if (!leading_)
        return;
    if (now.time >= speedsRefreshedAt_ + speedsInterval)
        refreshSpeeds();
    if (now.time >= speedsProposedAt_ + speedsStoreInterval)
        proposeSpeeds();
    enqueueDueTasks();
    expireLeases();
    confirmLeaves();
    proposeLostRuns();
    proposeConfirmations();
    removeUnaccountedRuns();
    sendDueOrders();
    removeFinishedJobs();
    if (now.time >= lastPlan_ + planInterval)
        plan();
    else
        planIfChanged(now);
    if (settings_.makesCopies)
        copies_.plan(now.time);
}

void JobScheduler::planIfChanged(const EventTime &now)
{
    now_ = now;
    if (leading_ && planNeeded_ && (!hasBacklog_ || now.time >= lastPlan_ + backlogInterval))
        plan();
}

} // namespace Pistachio::Jobs
