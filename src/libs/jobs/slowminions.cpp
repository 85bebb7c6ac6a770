// Tells slow minions from slow tasks, and moves tasks that end sooner elsewhere.

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
constexpr Duration longestLook = 700ms; ///< between two looks at a task's progress; half its run time for short ones
constexpr Duration shortestLook = 250ms; ///< progress comes in whole percent
constexpr double slowSpeed = 0.35; ///< run times differ from what is expected by a third or so
constexpr double slowSpeedOfSteps = 0.1; ///< with nothing to compare: some jobs take ten times what is expected
constexpr double slowSpeedOfOne = 0.05; ///< the same for one step
constexpr std::size_t siblingsNeeded = 2; ///< tasks of the step on other minions
constexpr double lowestSpeed = 0.01;
constexpr Duration avoidSlow = 1500ms;
constexpr std::uint32_t mostDoublings = 2; ///< of that time, while it is found slow again and again
constexpr Duration moveCost = 600ms; ///< stopping a task, the commits, and its start elsewhere
} // namespace

bool JobScheduler::tellsSpeed(const Minion &minion, const TaskName &task, const Run &run) const
{
    const auto *job = store_.job(task.step.job);
    if (!job || run.phase != RunPhase::Running || run.expected <= Duration::zero() || run.pace < 100)
        return false;
    const auto &step = job->spec(task.step.step);
    // Serving tasks have no progress, and those that use spare cores or are far from their data go slowly by
    // themselves.
    return !step.long_running() && !step.uses_spare_cores() && !step.same_rack() && minion.hasLabel(step.data_rack());
}

void JobScheduler::noteProgress(const Minion &minion, const ActiveRun &active, Run &run)
{
    const auto since = now_.time - run.progressAt;
    const bool tells = tellsSpeed(minion, active.task, run);
    if (tells && since < std::clamp(run.expected / 2, shortestLook, longestLook))
        return;
    run.speed.reset();
    if (tells && active.percent < 100) {
        const double moved = static_cast<double>(active.percent) - static_cast<double>(run.percent);
        run.speed = moved / 100 * static_cast<double>(run.expected.count()) / static_cast<double>(since.count());
    }
    run.percent = active.percent;
    run.progressAt = now_.time;
}

/// \return the speed of the step's tasks on other minions, or nothing if few of them tell it.
std::optional<double> JobScheduler::speedElsewhere(const StepName &step, const Minion &minion)
{
    const auto *job = store_.job(step.job);
    if (!job)
        return std::nullopt;
    double sum = 0;
    std::size_t count = 0;
    for (std::uint32_t index = 0; index < job->spec(step.step).tasks(); ++index) {
        const TaskName name{step, index};
        const auto *other = holder(*job->task(name));
        if (!other || other == &minion)
            continue;
        const auto run = other->runs.find(name);
        if (run == other->runs.end() || !run->second.speed)
            continue;
        sum += std::log(std::max(*run->second.speed, lowestSpeed));
        ++count;
    }
    if (count < siblingsNeeded)
        return std::nullopt;
    return std::exp(sum / static_cast<double>(count));
}

/// \return how fast the minion is in parts of what is usual, if its tasks tell that it is slow.
std::optional<double> JobScheduler::slowness(const Minion &minion)
{
    std::map<StepName, std::pair<double, int>> steps;
    for (const auto &[task, run] : minion.runs) {
        if (run.phase != RunPhase::Running || !run.speed)
            continue;
        auto &[sum, count] = steps[task.step];
        sum += std::log(std::max(*run.speed, lowestSpeed));
        ++count;
    }
    // Tasks of one step are long together, so those that are slow elsewhere as well tell nothing.
    double compared = 0;
    double alone = 0;
    std::size_t comparedSteps = 0;
    for (const auto &[step, sums] : steps) {
        const double speed = sums.first / sums.second;
        alone += speed;
        const auto elsewhere = speed < std::log(slowSpeed) ? speedElsewhere(step, minion) : std::nullopt;
        if (!elsewhere && speed < std::log(slowSpeed))
            continue;
        compared += speed - (elsewhere ? std::log(std::clamp(*elsewhere, lowestSpeed, 1.0)) : 0);
        ++comparedSteps;
    }
    if (steps.empty())
        return std::nullopt;
    const bool isCompared = comparedSteps > 0;
    const double speed = std::exp(isCompared ? compared / static_cast<double>(comparedSteps)
                                             : alone / static_cast<double>(steps.size()));
    const double limit = isCompared ? slowSpeed : steps.size() > 1 ? slowSpeedOfSteps : slowSpeedOfOne;
    return speed < limit ? std::optional(speed) : std::nullopt;
}

void JobScheduler::judgeSpeed(Minion &minion)
{
    const auto speed = slowness(minion);
    if (!speed) {
        if (now_.time >= minion.avoidUntil + avoidSlow)
            minion.slowInRow = 0;
        return;
    }
    if (now_.time >= minion.avoidUntil) {
        minion.avoidUntil = now_.time + avoidSlow * (1 << std::min(minion.slowInRow, mostDoublings));
        ++minion.slowInRow;
        ports_.logDecision(LogLevel::Info, "minion-slow",
                           {{"minion", minion.report.incarnation.id},
                            {"speed_percent", std::lround(*speed * 100)},
                            {"tasks", minion.runs.size()},
                            {"times", minion.slowInRow}});
    }
    for (auto &[task, run] : minion.runs) {
        if (run.speed && *run.speed < slowSpeed)
            moveFrom(minion, task, run);
    }
}

void JobScheduler::moveFrom(Minion &minion, const TaskName &task, Run &run)
{
    const auto *job = store_.job(task.step.job);
    if (!tellsSpeed(minion, task, run) || job->spec(task.step.step).gang())
        return;
    const auto part = [&run](double share) {
        return Duration(static_cast<std::int64_t>(share * static_cast<double>(run.expected.count())));
    };
    const double open = 1 - run.percent / 100.0;
    const auto here = part(open / std::max(*run.speed, lowestSpeed));
    const auto elsewhere = moveCost + (job->spec(task.step.step).checkpointing() ? part(open) : run.expected);
    if (here <= elsewhere || !movedTasks_.insert(task).second)
        return;
    ports_.logDecision(LogLevel::Info, "task-moved",
                       {{"task", task.toString()},
                        {"run", run.run},
                        {"minion", minion.report.incarnation.id},
                        {"speed_percent", std::lround(*run.speed * 100)},
                        {"percent", run.percent},
                        {"running_ms", (now_.time - run.startedAt) / 1ms}});
    sendStop(minion, task, run);
}

} // namespace Pistachio::Jobs
