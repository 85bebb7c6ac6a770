#include "lastingwatch.h"

#include <utility>

namespace Pistachio::Soak
{

LastingWatch::LastingWatch(Report report)
    : report_(std::move(report))
{
}

void LastingWatch::observe(TimePoint now, std::span<const LastingTask> tasks, bool isCalm)
{
    std::map<Jobs::TaskName, State> known;
    known.swap(states_);
    for (const auto &task : tasks) {
        const auto found = known.find(task.name);
        auto &state = states_[task.name];
        state = found == known.end() ? State{task.run, now, now, false} : found->second;
        observe(now, task, state, isCalm);
    }
}

void LastingWatch::observe(TimePoint now, const LastingTask &task, State &state, bool isCalm)
{
    if (task.isRunning || task.run != state.run) {
        state = {task.run, now, now, false};
        return;
    }
    const bool shouldRun = isCalm && task.fits && now >= state.lastRun + longestGap;
    if (!shouldRun)
        state.idleSince = now;
    if (state.isReported || now < state.idleSince + idleLimit)
        return;
    state.isReported = true;
    report_("long-running task " + task.name.toString() + " has not run for "
            + std::to_string((now - state.lastRun) / 1ms) + " ms though it fits");
}

} // namespace Pistachio::Soak
