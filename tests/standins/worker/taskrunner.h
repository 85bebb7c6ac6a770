#pragma once

#include "core/taskid.h"
#include "core/time.h"
#include "scheduler/workeragent.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Pistachio::StandinWorker
{

class Journal;

/// "Runs" tasks as entries in memory. The command "run <ms>" ends by itself after that time, "fail" fails at once, any
/// other runs until it is stopped.
class TaskRunner
{
public:
    struct Options {
        Duration defaultRunTime{}; ///< of commands without a time; zero: until stopped
        bool failsAll = false;
    };

    TaskRunner(WorkerId worker, Options options, Scheduler::WorkerAgent &agent, const Journal &journal);

    void carryOut(TimePoint now, const Scheduler::WorkerAction &action);

    /// Ends the tasks whose time has come.
    void tick(TimePoint now);

private:
    struct Running {
        std::uint64_t incarnation = 0;
        std::string command;
        bool started = false;
        bool fails = false;
        std::optional<TimePoint> endsAt;
    };

    void start(TimePoint now, const TaskId &task, Running &running);
    void finish(const TaskId &task, std::uint64_t incarnation, Scheduler::AgentEnd end, const std::string &detail);
    void stopped(const TaskId &task, std::uint64_t incarnation, std::string_view reason);

    WorkerId worker_;
    Options options_;
    Scheduler::WorkerAgent &agent_;
    const Journal &journal_;
    std::map<TaskId, Running> tasks_;
};

} // namespace Pistachio::StandinWorker
