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
#include <optional>
#include <string>
#include <vector>

/// A job store, a scheduler and minions behind a simulated network, in virtual time. Checks after each step that no
/// minion exceeds its capacity and that no task runs twice at the same time, or three times if it may have a copy.
class SimulatedCell : private Pistachio::Jobs::SchedulerPorts
{
public:
    using Duration = Pistachio::Duration;
    using TimePoint = Pistachio::TimePoint;

    explicit SimulatedCell(std::uint64_t seed, const Pistachio::Jobs::SchedulerSettings &settings = {});
    ~SimulatedCell() override;

    /// Adds a minion, which reports at once.
    SimulatedMinion &addMinion(const std::string &id, std::int64_t milliCores, Duration runTime, double clockRate = 1);
    void report(const SimulatedMinion &minion);

    /// Submits a job of one step.
    void submit(const std::string &id, std::uint32_t tasks, std::int64_t milliCores,
                const std::function<void(Pistachio::Wire::JobStep &)> &adjust = {});
    enum class Queue { HighPriority, LowPriority, Advised };
    void submit(const std::string &id, const Pistachio::Wire::JobSpec &spec, Queue queue = Queue::HighPriority);
    /// Puts a configuration with these teams into force.
    void configureTeams(const std::vector<Pistachio::Wire::JobTeam> &teams);
    void cancel(const std::string &id);

    void run(Duration span);

    /// Advances the time while the leader is suspended; it receives pending answers afterwards.
    void freezeLeader(Duration span);

    /// Another instance becomes leader; uncommitted proposals of the current one are lost.
    void changeLeader();

    enum class Proposals { Lost, Committed };
    /// Leaves the group without a leader.
    /// \param pending what becomes of the proposals that are not applied yet
    void loseLeader(Proposals pending);
    [[nodiscard]] bool isWithoutLeader() const { return !hasLeader_; }
    enum class StoreOrigin { Kept, Log, Snapshot };
    /// An instance becomes leader. Unless its store is kept, its process is a new one, which gets no earlier answers.
    void electLeader(StoreOrigin origin);

    /// The minion shuts down gracefully.
    void leave(SimulatedMinion &minion);
    /// A deregistration arrives; the minion works on.
    void deregister(
        const Pistachio::Jobs::MinionIncarnation &incarnation,
        std::function<void(bool confirmed)> confirmed = [](bool) {});
    /// The minion loses its power and does not come back.
    void destroy(SimulatedMinion &minion);
    /// The store forgets the minion, as after its removal.
    void removeFromStore(const std::string &id);
    /// The store records what the minion says of itself, as if an earlier leader had proposed it.
    void storeReport(const SimulatedMinion &minion);
    /// Sets the service of all queues.
    void configure(const std::string &service);

    [[nodiscard]] Pistachio::Jobs::JobPhase phase(const std::string &id) const;
    [[nodiscard]] const Pistachio::Jobs::Job &job(const std::string &id) const;
    [[nodiscard]] const Pistachio::Jobs::CopyCounts &copyCounts() const;
    [[nodiscard]] std::uint32_t pending() const;
    [[nodiscard]] Pistachio::Jobs::EventTime now() const;
    /// \return the minions that run a task of the job.
    [[nodiscard]] std::vector<std::string> minionsRunning(const std::string &job) const;

    /// \return the first minion that runs a task of the job, or an empty string.
    [[nodiscard]] std::string firstMinionRunning(const std::string &job) const;

    /// \return a minion that runs the task, or null.
    [[nodiscard]] SimulatedMinion *minionRunning(const Pistachio::Jobs::TaskName &task) const;

    /// \return the thousandths of cores that the team's runs use on the minions.
    [[nodiscard]] std::int64_t milliCoresOf(const std::string &owner) const;
    /// \return what the leader decides about a submission.
    Pistachio::Jobs::TeamRates::Admission admit(const Pistachio::Wire::JobSubmission &submission)
    {
        return scheduler_->admit(now(), submission);
    }
    [[nodiscard]] const Pistachio::Jobs::JobScheduler &scheduler() const { return *scheduler_; }

    std::vector<std::string> labels; ///< of the minions that are added next
    std::string team; ///< of the jobs that are submitted next; empty: none
    std::map<std::string, std::unique_ptr<SimulatedMinion>> minions;
    std::vector<std::string> violations;
    std::uint64_t lostAnswers = 0; ///< percentage of answers that are lost
    std::uint64_t lateOrders = 0; ///< percentage of starts that stay unanswered and are executed 2 to 12 s later
    /// \return how late a renewal is carried out that stays unanswered, or nothing.
    std::function<std::optional<Duration>(const Pistachio::Jobs::LeaseOrder &order)> renewalDelay;
    std::uint64_t failedProposals = 0; ///< percentage of proposals that are not appended to the log
    /// \return the outcome of a start that the minion does not carry out, or nothing.
    std::function<std::optional<Pistachio::Jobs::OrderOutcome>(const Pistachio::Jobs::StartOrder &order)> startFault;
    Duration commitDelay; ///< from a proposal to its application
    bool hasConnections = true; ///< false: no order is sent, and each fails at once
    bool answersAdvice = false; ///< approves all minions
    std::vector<std::string> startLog; ///< task, run and minion of each start order, with its time
    std::size_t starts = 0;
    std::size_t stops = 0;
    std::size_t renewals = 0;
    std::map<std::string, int> eventCounts; ///< log lines by event

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

    /// Calls \p failed unless there are connections.
    /// \return whether there are some.
    bool hasConnection(std::function<void()> failed);
    /// Calls \p function after \p delay, or when the leader is no longer frozen.
    void scheduleForLeader(Duration delay, std::function<void()> function);
    void schedule(Duration delay, std::function<void()> function);
    SimulatedMinion *reachableMinion(const std::string &address);
    /// \return the minion that carries out what was sent to the address earlier, though it may be cut off by now.
    SimulatedMinion *minionAt(const std::string &address);
    [[nodiscard]] bool chance(std::uint64_t percent);
    void commit(const Pistachio::Wire::JobCommand &command);
    void createScheduler();
    void lead();
    void checkInvariants();
    /// Checks that no start brings a team over its cap, or over what it held when its cap was cut.
    void checkCaps();

    const Pistachio::Jobs::SchedulerSettings settings_;
    TimePoint now_{};
    TimePoint frozenUntil_{};
    Pistachio::RandomSource random_;
    TimePoint nextReport_;
    std::unique_ptr<Pistachio::Jobs::JobStore> store_;
    std::unique_ptr<Pistachio::Jobs::JobScheduler> scheduler_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::vector<std::string> log_; ///< committed commands
    std::uint64_t term_ = 1;
    std::uint64_t committedTerm_ = 0; ///< an earlier term whose pending proposals are still committed
    std::uint64_t process_ = 1; ///< number of the leader's process
    bool hasLeader_ = true;
    std::vector<Pistachio::Wire::JobTeam> teams_;
    std::map<std::string, std::int64_t> lastMilliCores_; ///< of teams, after the last step
    std::map<std::string, std::int64_t> allowedMilliCores_; ///< of teams: the cap, or what was held when it was cut
};
