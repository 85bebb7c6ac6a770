// Distinguishes slow minions from slow tasks, and moves tasks that would end sooner elsewhere.

#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <cmath>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{
constexpr Duration maxSampleInterval
    = 700ms; ///< between progress samples of a task; half the expected run time for short tasks
constexpr Duration minSampleInterval = 250ms; ///< progress is reported in whole percent
constexpr double slowSpeed
    = 0.35; ///< relative to the expected speed; run times deviate from predictions by about a third
constexpr double slowSpeedUncompared
    = 0.1; ///< without siblings to compare with: some jobs take ten times their expected run time
constexpr double slowSpeedSingleStep = 0.05; ///< the same if the minion runs tasks of one step only
constexpr std::size_t minSiblings = 2; ///< tasks of the step on other minions
constexpr double minSpeed = 0.01;
constexpr Duration avoidAfterSlow = 1500ms;
constexpr std::uint32_t maxDoublings = 2; ///< of avoidAfterSlow while the minion is repeatedly found slow
constexpr Duration moveCost = 600ms; ///< stopping a task, the commits, and its start elsewhere
} // namespace

bool JobScheduler::isSpeedMeaningful(const Minion &minion, const TaskName &task, const Run &run) const
{
    const auto *job = store_.job(task.step.job);
    if (!job || !job->task(task) || run.phase != RunPhase::Running || run.expected <= Duration::zero()
        || run.throttlePercent < 100)
        return false;
    const auto &step = job->spec(task.step.step);
    // Serving tasks have no progress; tasks on spare cores or far from their data are slow on any minion.
    return !step.long_running() && !step.uses_spare_cores() && !step.same_rack() && minion.hasLabel(step.data_rack());
}

void JobScheduler::recordProgress(const Minion &minion, const ActiveRun &active, Run &run)
{
    const auto since = now_.time - run.progressAt;
    const bool isMeaningful = isSpeedMeaningful(minion, active.task, run);
    if (isMeaningful && since < std::clamp(run.expected / 2, minSampleInterval, maxSampleInterval))
        return;
    run.speed.reset();
    if (isMeaningful && active.percent < 100) {
        const double moved = static_cast<double>(active.percent) - static_cast<double>(run.percent);
        run.speed = moved / 100 * static_cast<double>(run.expected.count()) / static_cast<double>(since.count());
    }
    run.percent = active.percent;
    run.progressAt = now_.time;
}

/// \return the mean speed of the step's tasks on other minions, or nothing without enough samples.
std::optional<double> JobScheduler::siblingSpeed(const StepName &step, const Minion &minion)
{
    const auto *job = store_.job(step.job);
    if (!job)
        return std::nullopt;
    double sum = 0;
    std::size_t count = 0;
    for (std::uint32_t index = 0; index < job->spec(step.step).tasks(); ++index) {
        const TaskName name{step, index};
        const auto *other = minionOf(*job->task(name));
        if (!other || other == &minion)
            continue;
        const auto run = other->runs.find(name);
        if (run == other->runs.end() || !run->second.speed)
            continue;
        sum += std::log(std::max(*run->second.speed, minSpeed));
        ++count;
    }
    if (count < minSiblings)
        return std::nullopt;
    return std::exp(sum / static_cast<double>(count));
}

/// \return the speed of the minion relative to the expected one if its tasks show that it is slow, or nothing.
std::optional<double> JobScheduler::slowSpeedOf(const Minion &minion)
{
    std::map<StepName, std::pair<double, int>> steps;
    for (const auto &[task, run] : minion.runs) {
        if (run.phase != RunPhase::Running || !run.speed)
            continue;
        auto &[sum, count] = steps[task.step];
        sum += std::log(std::max(*run.speed, minSpeed));
        ++count;
    }
    // Tasks of one step have similar run times, so a step that is slow elsewhere too does not show a slow minion.
    double compared = 0;
    double uncompared = 0;
    std::size_t comparedSteps = 0;
    for (const auto &[step, sums] : steps) {
        const double speed = sums.first / sums.second;
        uncompared += speed;
        const auto elsewhere = speed < std::log(slowSpeed) ? siblingSpeed(step, minion) : std::nullopt;
        if (!elsewhere && speed < std::log(slowSpeed))
            continue;
        compared += speed - (elsewhere ? std::log(std::clamp(*elsewhere, minSpeed, 1.0)) : 0);
        ++comparedSteps;
    }
    if (steps.empty())
        return std::nullopt;
    const bool isCompared = comparedSteps > 0;
    const double speed = std::exp(isCompared ? compared / static_cast<double>(comparedSteps)
                                             : uncompared / static_cast<double>(steps.size()));
    const double limit = isCompared ? slowSpeed : steps.size() > 1 ? slowSpeedUncompared : slowSpeedSingleStep;
    return speed < limit ? std::optional(speed) : std::nullopt;
}

void JobScheduler::checkSpeed(Minion &minion)
{
    const auto speed = slowSpeedOf(minion);
    if (!speed) {
        if (now_.time >= minion.avoidUntil + avoidAfterSlow)
            minion.consecutiveSlowFindings = 0;
        return;
    }
    if (now_.time >= minion.avoidUntil) {
        minion.avoidUntil = now_.time + avoidAfterSlow * (1 << std::min(minion.consecutiveSlowFindings, maxDoublings));
        ++minion.consecutiveSlowFindings;
        ports_.logDecision(LogLevel::Info, "minion-slow",
                           {{"minion", minion.report.incarnation.id},
                            {"speed_percent", std::lround(*speed * 100)},
                            {"usual_percent", std::lround(100 / minion.speed.slowness)},
                            {"tasks", minion.runs.size()},
                            {"times", minion.consecutiveSlowFindings}});
        learnSlowProgress(minion);
    }
    for (auto &[task, run] : minion.runs) {
        if (run.speed && *run.speed < slowSpeed)
            moveIfFasterElsewhere(minion, task, run);
    }
}

/// Runs that are moved never end here, so the minion would be found slow again and again.
void JobScheduler::learnSlowProgress(Minion &minion)
{
    const auto &incarnation = minion.report.incarnation;
    for (const auto &[task, run] : minion.runs) {
        const auto *job = store_.job(task.step.job);
        if (!job || !run.speed)
            continue;
        const double whole = static_cast<double>(run.expected.count()) / std::max(*run.speed, minSpeed);
        speeds_.learnAlone(incarnation, Duration(std::llround(whole)), expectedRunTime(*job, task.step), 1);
    }
    minion.speed = speeds_.estimate(incarnation.id);
}

void JobScheduler::moveIfFasterElsewhere(Minion &minion, const TaskName &task, Run &run)
{
    const auto *job = store_.job(task.step.job);
    // A task that has a copy needn't move.
    if (!isSpeedMeaningful(minion, task, run) || job->spec(task.step.step).gang() || job->task(task)->other)
        return;
    // The progress is relative to the expected run time on this minion, the run time elsewhere is that of any minion.
    const auto part = [](Duration whole, double share) {
        return Duration(std::llround(share * static_cast<double>(whole.count())));
    };
    const bool isResumed = job->spec(task.step.step).checkpointing();
    const auto usual = expectedRunTime(*job, task.step);
    const double done = run.percent / 100.0;
    const auto here = part(run.expected, (1 - done) / std::max(*run.speed, minSpeed));
    const auto elsewhere = moveCost + part(usual, isResumed ? 1 - done : 1);
    const auto gain = here - elsewhere;
    const auto lost = isResumed ? Duration::zero() : part(usual, done);
    if (gain <= lost || !movedTasks_.insert(task).second)
        return;
    ports_.logDecision(LogLevel::Info, "task-moved",
                       {{"task", task.toString()},
                        {"run", run.run},
                        {"minion", minion.report.incarnation.id},
                        {"speed_percent", std::lround(*run.speed * 100)},
                        {"percent", run.percent},
                        {"running_ms", (now_.time - run.startedAt) / 1ms},
                        {"gain_ms", gain / 1ms},
                        {"lost_ms", lost / 1ms}});
    sendStop(minion, task, run, StopReason::Moved);
}

} // namespace Pistachio::Jobs
