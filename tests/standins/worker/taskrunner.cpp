#include "taskrunner.h"

#include "journal.h"

#include <charconv>
#include <utility>
#include <vector>

namespace Pistachio::StandinWorker
{

using Scheduler::AgentEnd;
using Scheduler::WorkerAction;

namespace
{

std::optional<Duration> runTime(std::string_view command)
{
    constexpr std::string_view prefix = "run ";
    if (!command.starts_with(prefix))
        return std::nullopt;
    command.remove_prefix(prefix.size());
    std::int64_t milliseconds = 0;
    std::from_chars(command.data(), command.data() + command.size(), milliseconds);
    return std::chrono::milliseconds(milliseconds);
}

} // namespace

TaskRunner::TaskRunner(WorkerId worker, Options options, Scheduler::WorkerAgent &agent, const Journal &journal)
    : worker_(std::move(worker))
    , options_(options)
    , agent_(agent)
    , journal_(journal)
{
}

void TaskRunner::carryOut(TimePoint now, const WorkerAction &action)
{
    switch (action.kind) {
    case WorkerAction::Kind::Prepare:
        tasks_[action.task] = {action.incarnation, action.command, false, false, {}};
        agent_.taskPrepared(action.task, action.incarnation);
        break;
    case WorkerAction::Kind::Run:
        start(now, action.task, tasks_[action.task] = {action.incarnation, action.command, false, false, {}});
        break;
    case WorkerAction::Kind::Start:
        start(now, action.task, tasks_[action.task]);
        break;
    case WorkerAction::Kind::Stop:
        finish(action.task, action.incarnation, AgentEnd::Stopped, {});
        break;
    case WorkerAction::Kind::Kill:
        stopped(action.task, action.incarnation, "killed");
        break;
    case WorkerAction::Kind::Throttle:
        break;
    }
}

void TaskRunner::start(TimePoint now, const TaskId &task, Running &running)
{
    journal_.write("start", task, running.incarnation, worker_, {});
    running.started = true;
    running.fails = options_.failsAll || running.command == "fail";
    if (running.fails)
        running.endsAt = now;
    else if (const auto time = runTime(running.command))
        running.endsAt = now + *time;
    else if (options_.defaultRunTime > Duration::zero())
        running.endsAt = now + options_.defaultRunTime;
}

void TaskRunner::tick(TimePoint now)
{
    std::vector<std::pair<TaskId, Running>> ended;
    for (const auto &[task, running] : tasks_) {
        if (running.endsAt && *running.endsAt <= now)
            ended.emplace_back(task, running);
    }
    for (const auto &[task, running] : ended) {
        finish(task, running.incarnation, running.fails ? AgentEnd::Failed : AgentEnd::Completed,
               running.fails ? "the stand-in fails it" : "");
    }
}

void TaskRunner::finish(const TaskId &task, std::uint64_t incarnation, AgentEnd end, const std::string &detail)
{
    stopped(task, incarnation, detail.empty() ? "ended" : "failed");
    agent_.taskEnded(task, incarnation, end, detail);
}

void TaskRunner::stopped(const TaskId &task, std::uint64_t incarnation, std::string_view reason)
{
    const auto found = tasks_.find(task);
    if (found == tasks_.end() || found->second.incarnation != incarnation)
        return;
    if (found->second.started)
        journal_.write("stop", task, incarnation, worker_, reason);
    tasks_.erase(found);
}

} // namespace Pistachio::StandinWorker
