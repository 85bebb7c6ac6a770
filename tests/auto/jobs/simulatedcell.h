#pragma once

#include "core/random.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"
#include "platform/simulatedminion.h"

#include <jobs.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// A job book with a scheduler, and minions that are reached with a delay, in virtual time. After each step it checks
/// that no minion runs more than it has and that no task runs twice at a time.
class SimulatedCell : private Pistachio::Jobs::SchedulerPorts
{
public:
    using Duration = Pistachio::Duration;
    using TimePoint = Pistachio::TimePoint;

    explicit SimulatedCell(std::uint64_t seed);
    ~SimulatedCell() override;

    /// Adds a minion that reports at once.
    SimulatedMinion &addMinion(const std::string &id, std::int64_t milliCores, Duration runTime, double clockRate = 1);
    void report(const SimulatedMinion &minion);

    /// Hands in a job of one step.
    void submit(const std::string &id, std::uint32_t tasks, std::int64_t milliCores,
                const std::function<void(Pistachio::Wire::JobStep &)> &adjust = {});
    enum class Queue { Usual, Later };
    /// \param queue the later one has a lower priority
    void submit(const std::string &id, const Pistachio::Wire::JobSpec &spec, Queue queue = Queue::Usual);
    void cancel(const std::string &id);

    void run(Duration span);

    /// Lets time pass while the leader does nothing; answers reach it afterwards.
    void freezeLeader(Duration span);

    /// Another instance takes over: what this leader has not committed is gone.
    void changeLeader();

    [[nodiscard]] Pistachio::Jobs::JobPhase phase(const std::string &id) const;
    [[nodiscard]] std::uint32_t pending() const;
    [[nodiscard]] Pistachio::Jobs::EventTime now() const;
    /// \return the minions that run a task of the job now.
    [[nodiscard]] std::vector<std::string> runningOn(const std::string &job) const;

    /// \return the first of them, or an empty string.
    [[nodiscard]] std::string runsOn(const std::string &job) const;

    std::map<std::string, std::unique_ptr<SimulatedMinion>> minions;
    std::vector<std::string> violations;
    std::uint64_t lostAnswers = 0; ///< of 100, answers that get lost
    std::uint64_t lateOrders = 0; ///< of 100, orders that get no answer and are carried out later
    std::size_t starts = 0;
    std::map<std::string, int> recorded; ///< log lines by event

private:
    // SchedulerPorts
    void propose(Pistachio::Wire::JobCommand command, std::function<void(bool applied)> ended) override;
    void start(const Pistachio::Jobs::StartOrder &order) override;
    void stop(const Pistachio::Jobs::StopOrder &order) override;
    void renewLease(const Pistachio::Jobs::LeaseOrder &order) override;
    void throttle(const Pistachio::Jobs::ThrottleOrder &order) override;
    [[nodiscard]] std::size_t idleAdviceClients() const override { return 1; }
    void askAdvice(const Pistachio::Jobs::AdviceRequest &request) override;
    void logDecision(Pistachio::Logging::LogLevel level, std::string_view event,
                     std::initializer_list<Pistachio::Logging::LogField> fields) override;

    /// Calls \p function once the leader is not frozen.
    void toLeader(Duration delay, std::function<void()> function);
    void later(Duration delay, std::function<void()> function);
    SimulatedMinion *at(const std::string &address);
    [[nodiscard]] bool happens(std::uint64_t percent);
    void check();

    TimePoint now_{};
    TimePoint frozenUntil_{};
    Pistachio::RandomSource random_;
    Pistachio::Jobs::JobStore book_;
    std::unique_ptr<Pistachio::Jobs::JobScheduler> scheduler_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::uint64_t term_ = 1;
    std::uint64_t index_ = 0;
};
