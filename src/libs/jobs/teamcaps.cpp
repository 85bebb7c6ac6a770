// Counts what teams hold, and keeps starts within their caps.

#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <array>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{

constexpr Duration usageCheckInterval = 2s; ///< looks at every run, so it is not done in every round
constexpr Duration reportInterval = 2s; ///< of a step, and how long it waits before its first report
constexpr Duration reportSpacing = 100ms; ///< between the reports of all steps
constexpr double maxBacklogMs = 60'000; ///< callers come back sooner, so a longer one need not be told apart

} // namespace

void JobScheduler::countRun(const Job &job, const TaskName &task, std::uint64_t run)
{
    if (job.submission().team().empty())
        return;
    const auto *queue = store_.queue(job.submission().queue());
    teamUsage_.add(job, task, run, queue ? queue->service() : std::string());
}

void JobScheduler::removeUnaccountedRuns()
{
    if (!teamUsage_.hasRuns() || now_.time < lastUsageCheck_ + usageCheckInterval)
        return;
    lastUsageCheck_ = now_.time;
    const auto isAccounted = [this](const TaskName &task, std::uint64_t number) {
        Run run;
        run.run = number;
        if (isCurrentRun(task, run))
            return true;
        return std::any_of(fleet_.minions().begin(), fleet_.minions().end(), [&](const auto &entry) {
            const auto found = entry.second.runs.find(task);
            return found != entry.second.runs.end() && found->second.run == number;
        });
    };
    teamUsage_.removeUnaccounted(now_.time, longestTime(settings_.longestLease), isAccounted);
}

bool JobScheduler::isHeldByCap(const WaitingStep &waiting) const
{
    return waiting.owner.team != noTeam
        && teamUsage_.allowedTasks(waiting.owner.team, waiting.demand, waiting.together) < waiting.together;
}

std::uint32_t JobScheduler::reservableTasks(const WaitingStep &waiting) const
{
    return teamUsage_.reservableTasks(waiting.owner.team, waiting.demand,
                                      static_cast<std::uint32_t>(waiting.tasks.size()));
}

JobScheduler::ServiceCapacity JobScheduler::serviceCapacity(const std::string &service) const
{
    ServiceCapacity result;
    for (const auto *minion : fleet_.minionsOf(service)) {
        result.total += minion->capacity();
        result.free += minion->freeCapacity();
    }
    return result;
}

void JobScheduler::recordWait(const WaitingEntry &entry, const Job &job, bool canFit, const ServiceCapacity &capacity,
                              TeamOrder::RoundResult &left)
{
    const auto &waiting = entry.second;
    const auto *queue = store_.queue(job.submission().queue());
    if (canFit && queue && queue->needs_advice() && advice_.adviceFor(entry.first).approved.empty()) {
        reportWaitingStep(entry, WaitCause::Advice);
        return;
    }
    left.hasBacklog = true;
    // A step that waits for a label or a rack shows nothing of the capacity that others could use.
    const auto together = TeamUsage::times(waiting.demand, waiting.together);
    const bool isShort = !canFit || !together.fitsIn(capacity.free);
    const bool isPossible = together.fitsIn(capacity.total);
    if (isShort && isPossible && !waiting.owner.isBeyondRate && TeamOrder::isLate(waiting, now_.time))
        left.hasLateOwed = true;
    reportWaitingStep(entry, teamOrder_.isOverShare(waiting.owner.team) ? WaitCause::Share : WaitCause::Room);
}

std::optional<Duration> JobScheduler::untilBacklogEnds(const std::string &service) const
{
    if (!teamOrder_.lastRound(service).hasLateOwed)
        return std::nullopt;
    const auto capacity = serviceCapacity(service).total;
    // Work is in units of milliseconds of all minions.
    double milliseconds = 0;
    for (const auto *entry : queue_.stepsOf(service)) {
        const auto &[name, waiting] = *entry;
        const auto *job = store_.job(name.job);
        if (!job || waiting.isLongRunning || waiting.owner.isBeyondRate
            || now_.time > waiting.deadlines.latestUsefulStart || isHeldByCap(waiting))
            continue;
        milliseconds += TeamOrder::dominantShare(waiting.demand, capacity) * static_cast<double>(waiting.tasks.size())
            * std::chrono::duration<double, std::milli>(expectedRunTime(*job, name)).count();
    }
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(milliseconds, maxBacklogMs)));
}

TeamRates::Admission JobScheduler::admit(const EventTime &now, const Wire::JobSubmission &submission)
{
    now_ = now;
    const auto *team = leading_ ? store_.team(submission.team()) : nullptr;
    const auto *queue = store_.queue(submission.queue());
    if (!team || !queue)
        return {};
    const auto admission = teamRates_.admit(now.time, submission.id(), team->name(), team->weight(),
                                            [this, queue] { return untilBacklogEnds(queue->service()); });
    if (admission.verdict != TeamRates::Verdict::Owed) {
        const bool isRefused = admission.verdict == TeamRates::Verdict::Refused;
        ports_.logDecision(isRefused ? LogLevel::Info : LogLevel::Debug, "job-beyond-rate",
                           {{"job", submission.id()},
                            {"team", team->name()},
                            {"weight", team->weight()},
                            {"refused", isRefused},
                            {"retry_after_ms", admission.retryAfter / 1ms}});
    }
    return admission;
}

void JobScheduler::reportWaitingStep(const WaitingEntry &entry, WaitCause cause)
{
    const auto &[name, waiting] = entry;
    if (!teamUsage_.hasTeams() || now_.time < std::max(waiting.readySince, waiting.reportedAt) + reportInterval
        || now_.time < lastStepReport_ + reportSpacing)
        return;
    lastStepReport_ = now_.time;
    queue_.setReported(name, now_.time);
    static constexpr std::array<std::string_view, 4> causeNames{"cap", "share", "room", "advice"};
    const auto held = teamUsage_.held(waiting.owner.team);
    const auto *cap = teamUsage_.cap(waiting.owner.team);
    const bool canNeverStart = !teamUsage_.canEverHold(waiting.owner.team, waiting.demand, waiting.together);
    ports_.logDecision(canNeverStart ? LogLevel::Warning : LogLevel::Info,
                       canNeverStart ? "step-exceeds-cap" : "step-waits",
                       {{"step", name.toString()},
                        {"cause", causeNames.at(static_cast<std::size_t>(cause))},
                        {"team", teamUsage_.name(waiting.owner.team)},
                        {"waited_ms", (now_.time - waiting.readySince) / 1ms},
                        {"waiting", waiting.tasks.size()},
                        {"together", waiting.together},
                        {"milli_cores", waiting.demand.milliCores},
                        {"memory_mb", waiting.demand.memoryMb},
                        {"accelerators", waiting.demand.accelerators},
                        {"held_milli_cores", held.milliCores},
                        {"held_memory_mb", held.memoryMb},
                        {"held_accelerators", held.accelerators},
                        {"cap_milli_cores", cap ? cap->milliCores : -1},
                        {"cap_memory_mb", cap ? cap->memoryMb : -1},
                        {"cap_accelerators", cap ? cap->accelerators : -1}});
}

bool JobScheduler::isOverCap(const Job &job)
{
    return !job.submission().team().empty() && teamUsage_.isOverCap(teamUsage_.numberOf(job.submission().team()));
}

} // namespace Pistachio::Jobs
