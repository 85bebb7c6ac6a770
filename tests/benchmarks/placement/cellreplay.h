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

/// Replays a workload against ZoneScheduler, ZoneState and worker agents in virtual time.
class CellReplay
{
public:
    /// \param aroundScheduler called with true before and false after each call of the scheduler, for counting
    CellReplay(const Workload &workload, std::function<void(bool)> aroundScheduler);

    Measurements run();

private:
    struct Event {
        Duration at{};
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator>(const Event &other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };
    struct Host {
        std::unique_ptr<Scheduler::WorkerAgent> agent;
        std::uint64_t sequence = 0;
        bool outstanding = false;
        bool dead = false;
    };

    void at(Duration time, std::function<void()> action);
    template<class Call> void scheduler(Call call);
    void publish();
    void sync(std::size_t host);
    void carryOut(std::size_t host, const std::vector<Scheduler::WorkerAction> &actions);
    void started(std::size_t host, const TaskId &task, std::uint64_t incarnation);
    void apply(const Wire::ZoneCommand &command);
    void loseRack();
    Scheduler::EventContext moment() const;

    const Workload &workload_;
    std::function<void(bool)> aroundScheduler_;
    Measurements measurements_;
    ZoneState::ZoneState state_;
    Scheduler::ZoneScheduler scheduler_;
    Wire::Configuration configuration_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<Host> hosts_;
    std::unordered_map<std::string, std::size_t> hostNumbers_;
    std::unordered_map<std::string, const Job *> jobs_; ///< that have arrived and not all ended
    std::unordered_map<std::string, std::uint32_t> completed_;
    std::unordered_map<TaskId, Duration> waitingSince_;
    std::unordered_map<TaskId, Duration> remaining_; ///< of tasks that were stopped with a checkpoint
    std::unordered_map<TaskId, Duration> startedAt_;
    std::map<std::string, Wire::Booking> bookings_;
    std::size_t nextJob_ = 0;
    Resources allocated_;
    Resources demand_;
    Duration now_{};
    std::uint64_t sequence_ = 0;
};

/// The baselines: what fits is started at once, in order of arrival, without reservations and displacement.
enum class Baseline : std::uint8_t { FirstFit, BestFit };
Measurements runBaseline(const Workload &workload, Baseline baseline);

} // namespace Pistachio::Replay
