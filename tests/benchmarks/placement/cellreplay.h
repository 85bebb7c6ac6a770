#pragma once

#include "measurements.h"
#include "scheduler/commands.h"
#include "scheduler/workeragent.h"
#include "scheduler/zonescheduler.h"
#include "zonestate/zonestate.h"

#include <cell.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <unordered_map>

namespace Pistachio::Replay
{

/// Replays a workload in virtual time with the real ZoneScheduler, ZoneState and worker agents.
class CellReplay
{
public:
    /// \param schedulerCallHook called with true before and with false after each call of the scheduler, to count its
    /// instructions
    CellReplay(const Workload &workload, std::function<void(bool)> schedulerCallHook);

    Measurements run();

private:
    struct Event {
        Duration time{};
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator>(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };
    /// The machine of one worker.
    struct Host {
        std::unique_ptr<Scheduler::WorkerAgent> agent;
        std::uint64_t lastSyncSequence = 0;
        bool syncOutstanding = false;
        bool lost = false;
    };

    void scheduleAt(Duration time, std::function<void()> action);
    template<class Call> void callScheduler(Call call);
    void submitArrivedJobs();
    void sendSync(std::size_t number);
    void executeActions(std::size_t number, const std::vector<Scheduler::WorkerAction> &actions);
    void taskStarted(std::size_t number, const TaskId &task, std::uint64_t incarnation);
    void apply(const Wire::ZoneCommand &command);
    void loseRack();
    Scheduler::EventContext eventContext() const;

    const Workload &workload_;
    std::function<void(bool)> schedulerCallHook_;
    Measurements measurements_;
    ZoneState::ZoneState state_;
    Scheduler::ZoneScheduler scheduler_;
    Wire::Configuration configuration_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<Host> hosts_;
    std::unordered_map<std::string, std::size_t> hostNumbers_;
    std::unordered_map<std::string, const Job *> jobs_; ///< jobs that have arrived, by id
    std::unordered_map<std::string, std::uint32_t> completed_;
    std::unordered_map<TaskId, Duration> waitingSince_;
    std::unordered_map<TaskId, Duration> remaining_; ///< run time that started tasks need from their last checkpoint on
    std::unordered_map<TaskId, Duration> startedAt_;
    std::map<std::string, Wire::Booking> bookings_;
    std::size_t nextJob_ = 0;
    Resources allocated_;
    Resources demand_;
    Duration now_{};
    std::uint64_t sequence_ = 0;
};

/// Simple policies for comparison: units are started as soon as they fit, in order of arrival, without reservations and
/// displacement.
enum class Baseline : std::uint8_t { FirstFit, BestFit };
Measurements runBaseline(const Workload &workload, Baseline baseline);

} // namespace Pistachio::Replay
