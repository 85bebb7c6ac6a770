#pragma once

#include "core/random.h"
#include "scheduler/commands.h"
#include "scheduler/workeragent.h"
#include "scheduler/zonescheduler.h"
#include "zonestate/zonestate.h"

#include <cell.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Pistachio
{

/// Simulates a zone leader, the committed zone state and workers in virtual time. Messages and commits are delayed; the
/// faults below delay messages further, lose or duplicate them. The invariants are checked after every event.
class SimulatedZone
{
public:
    struct Options {
        std::uint64_t seed = 1;
        std::uint32_t workers = 4;
        Resources capacity{8000, 16LL << 30, 2};
        double agentClockRate = 1.0; ///< of the workers' clocks; leases are safe from 0.98 to 1.02
        double failureRate = 0; ///< share of tasks that fail, on any worker
    };

    explicit SimulatedZone(const Options &options);

    Wire::Booking &book(const std::string &id, Wire::WorkKind kind, std::uint32_t tasks, std::int64_t cores,
                        Wire::Standing standing = Wire::STANDING_NORMAL);
    void cancel(const std::string &id);
    void publish(); ///< passes the bookings to the leader
    void advance(Duration duration);

    // Faults.
    void partition(std::size_t worker, Duration duration);
    void restartWorker(std::size_t worker);
    void pauseWorker(std::size_t worker, Duration duration);
    void changeLeader(Duration vacancy, bool keepProposals);
    void loseLeaderLease(Duration duration);
    void loseMessages(double share) { lossRate_ = share; }
    void delayMessages(Duration maximum) { maxDelay_ = maximum; }

    void proposeDrain(std::size_t worker, bool draining);
    Scheduler::WorkerAgent &agent(std::size_t worker) { return *hosts_.at(worker).agent; }
    Scheduler::ZoneScheduler &scheduler() { return *scheduler_; }
    [[nodiscard]] const ZoneState::ZoneState &state() const { return state_; }
    [[nodiscard]] Scheduler::BookingState stateOf(const std::string &id) const;
    [[nodiscard]] std::vector<std::string> runningOn(const std::string &booking) const;
    [[nodiscard]] std::size_t decisions(const std::string &action) const;
    /// \return the first violations of invariants.
    [[nodiscard]] const std::vector<std::string> &violations() const { return violations_; }
    [[nodiscard]] TimePoint now() const { return now_; }

    Wire::Configuration configuration;
    bool rejectProposals = false;
    std::size_t endCommands = 0; ///< number of log entries that end tasks
    std::map<std::string, Duration> runTime; ///< by booking; others run until stopped
    std::map<std::string, std::int64_t> memoryUse; ///< by booking
    std::function<bool(const std::string &worker, const std::string &booking)> fails;

private:
    struct Host {
        std::unique_ptr<Scheduler::WorkerAgent> agent;
        std::string name;
        std::string rack;
        std::uint32_t boot = 1;
        TimePoint syncSent{};
        bool outstanding = false;
        std::uint64_t sequence = 0;
        TimePoint partitionedUntil{};
        TimePoint pausedUntil{};
    };

    Scheduler::EventContext eventContext() const;
    TimePoint agentTime() const;
    void schedule(TimePoint time, std::function<void()> action);
    void send(std::size_t worker, std::function<void()> action);
    void processCommands();
    void applyProposal(const Wire::ZoneCommand &command, std::uint64_t term);
    void tickHost(std::size_t worker);
    void execute(std::size_t worker, const std::vector<Scheduler::WorkerAction> &actions);
    void startTask(std::size_t worker, const TaskId &task, std::uint64_t incarnation);
    void endTask(std::size_t worker, const TaskId &task, std::uint64_t incarnation, Scheduler::AgentEnd end);
    void checkInvariants();
    void checkGangs();
    void addViolation(std::string text);

    Options options_;
    RandomSource random_;
    TimePoint now_ = TimePoint(1000s);
    std::multimap<TimePoint, std::function<void()>> events_;
    ZoneState::ZoneState state_;
    std::unique_ptr<Scheduler::ZoneScheduler> scheduler_;
    std::vector<Host> hosts_;
    std::vector<Wire::Booking> bookings_;
    std::vector<Wire::Booking> published_;
    std::vector<Scheduler::DecisionRecord> decisions_;
    std::vector<std::string> violations_;
    std::uint64_t term_ = 1;
    std::uint64_t lastDroppedTerm_ = 0; // uncommitted entries up to this term are lost
    bool hasLeader_ = true;
    TimePoint noLeaderLeaseUntil_{};
    double lossRate_ = 0;
    Duration maxDelay_ = 5ms;
};

} // namespace Pistachio
