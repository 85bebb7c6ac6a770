// Expected run times, and what is learned of them and of the speeds of minions.

#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <cmath>
#include <string>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{

constexpr Duration longRunningTime = 24h; ///< expected for tasks that run until their job is cancelled
constexpr std::size_t maxSpeedsInCommand = 200; ///< 10 KiB
constexpr int maxSpeedsInLogLine = 10; ///< those that changed most

Duration scaled(Duration duration, double factor)
{
    return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

} // namespace

Duration JobScheduler::expectedRunTime(const Job &job, const StepName &step) const
{
    if (job.spec(step.step).long_running())
        return longRunningTime;
    return durations_.expected(job.submission().queue(), step,
                               std::chrono::milliseconds(job.spec(step.step).estimate_ms()));
}

Duration JobScheduler::expectedRunTime(const Job &job, const StepName &step, const Minion &minion) const
{
    const auto usual = expectedRunTime(job, step);
    return job.spec(step.step).long_running() ? usual : scaled(usual, minion.speed.slowness);
}

void JobScheduler::learnSpeed(const Job &job, const TaskName &task, Minion &minion, Duration took)
{
    const auto &incarnation = minion.report.incarnation;
    const auto &tasks = job.step(task.step.occurrence, task.step.step)->tasks;
    const bool isAlone
        = std::ranges::all_of(tasks, [&incarnation](const Task &other) { return other.minion == incarnation.id; });
    if (isAlone) {
        const auto usual = durations_.expected(job.submission().queue(), {},
                                               std::chrono::milliseconds(job.spec(task.step.step).estimate_ms()));
        speeds_.learnAlone(incarnation, took, usual, 1 / static_cast<double>(tasks.size()));
    } else {
        speeds_.learn(incarnation, task.step, took);
    }
    minion.speed = speeds_.estimate(incarnation.id);
}

void JobScheduler::learnRunTime(const Job &job, const TaskName &task, Minion &minion, const Run &run, Duration took)
{
    const auto &spec = job.spec(task.step.step);
    const auto slowness = minion.speed.slowness;
    // Throttled runs, tasks on spare cores, and gangs away from their rack are slow on any minion.
    if (run.throttlePercent == 100 && !spec.uses_spare_cores() && !spec.same_rack())
        learnSpeed(job, task, minion, took);
    durations_.learn(job.submission().queue(), task.step, std::chrono::milliseconds(spec.estimate_ms()),
                     scaled(took, 1 / slowness));
    const auto *queue = store_.queue(job.submission().queue());
    for (std::uint32_t number = 0; queue && number < job.stepsPerOccurrence(); ++number) {
        const StepName step{job.id(), task.step.occurrence, number};
        if (queue_.steps().contains(step))
            queue_.update(step, deadlinesOf(job, *queue, step));
    }
}

void JobScheduler::refreshSpeeds()
{
    speedsRefreshedAt_ = now_.time;
    // A report may have changed a minion's service or kind.
    for (const auto &[id, minion] : fleet_.minions())
        speeds_.add(minion.report.incarnation, minion.report.service, minion.kind());
    speeds_.normalize();
    differInSpeed_ = false;
    for (auto &[id, minion] : fleet_.minions()) {
        minion.speed = speeds_.estimate(id);
        differInSpeed_ = differInSpeed_ || minion.speed.slowness != minion.speed.kindSlowness;
    }
}

void JobScheduler::proposeSpeeds()
{
    speedsProposedAt_ = now_.time;
    Wire::JobCommand command;
    std::string changes;
    for (const auto &speed : speeds_.changesSince(store_.speeds(), maxSpeedsInCommand)) {
        *command.add_speeds() = speed;
        if (command.speeds_size() <= maxSpeedsInLogLine)
            changes += (changes.empty() ? "" : " ") + speed.minion() + '='
                + std::to_string(std::lround(speed.slowness() * 100));
    }
    if (command.speeds_size() == 0)
        return;
    ports_.logDecision(
        LogLevel::Info, "minion-speeds",
        {{"changed", command.speeds_size()}, {"minions", fleet_.minions().size()}, {"slowness_percent", changes}});
    ports_.propose(std::move(command), {});
}

} // namespace Pistachio::Jobs
