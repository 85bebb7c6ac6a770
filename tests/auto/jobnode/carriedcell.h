#pragma once

#include "core/random.h"
#include "jobnode/minionclient.h"
#include "jobnode/ordercarrier.h"
#include "jobnode/ordercarrierports.h"
#include "jobnode/orderrelay.h"
#include "jobnode/orderrelayports.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"
#include "platform/runobserver.h"
#include "platform/simulatedminion.h"

#include <jobs.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// A leader, instances that carry its orders, and minions behind a simulated network, in virtual time. Instances can be
/// killed, paused and cut off, and another leader can take over. Checks that no task runs twice and that no instance
/// sends an order that has waited for too long.
class CarriedCell : public Pistachio::Jobs::SchedulerPorts,
                    public Pistachio::Jobnode::OrderRelayPorts,
                    public RunObserver
{
public:
    using Duration = Pistachio::Duration;
    using TimePoint = Pistachio::TimePoint;
    enum class Direction { FromLeader, ToLeader };

    /// \param carriers the number of instances beside the leader; each is in a zone of its own
    /// \param runTime of each task; ten jobs are submitted in it
    CarriedCell(std::uint64_t seed, std::size_t carriers, std::size_t minions,
                Duration runTime = std::chrono::milliseconds(150));
    ~CarriedCell() override;

    /// Submits jobs and lets time pass.
    void run(Duration span);
    /// Submits nothing more, and lets time pass until all is done or \p limit is over.
    void finish(Duration limit);

    void kill(std::size_t carrier);
    /// Starts a killed instance anew.
    void revive(std::size_t carrier);
    void pause(std::size_t carrier, Duration span);
    /// Messages in one direction get lost from now on.
    void cut(std::size_t carrier, Direction direction);
    void join(std::size_t carrier);
    /// Messages between the leader and the instance take \p more time in each direction.
    void slow(std::size_t carrier, Duration more);
    /// Another instance begins to lead; the group of the carriers hears of it a little later.
    void changeLeader();

    [[nodiscard]] std::size_t carriers() const { return carriers_.size(); }

    std::vector<std::string> violations;
    std::size_t submitted = 0;
    std::size_t completed = 0;
    std::size_t lapsedRuns = 0;
    std::size_t carriedStarts = 0; ///< that instances other than the leader have sent
    std::size_t directStarts = 0;
    std::size_t refusedBatches = 0; ///< of an earlier leader
    Duration longestStart{}; ///< from an assignment to the begin of the run
    bool repeatsBatches = false; ///< batches are delivered twice
    std::uint64_t lostPercent = 0; ///< of the messages between instances

private:
    class Process;
    class Carrier;
    struct Leader;

    // SchedulerPorts
    void propose(Pistachio::Wire::JobCommand command, std::function<void(bool applied)> ended) override;
    void start(const Pistachio::Jobs::StartOrder &order) override;
    void stop(const Pistachio::Jobs::StopOrder &order) override;
    void renewLease(const Pistachio::Jobs::LeaseOrder &order) override;
    void throttle(const Pistachio::Jobs::ThrottleOrder &order) override;
    [[nodiscard]] std::size_t idleAdviceClients() const override { return 0; }
    void askAdvice(const Pistachio::Jobs::AdviceRequest &request) override;
    void logDecision(Pistachio::Logging::LogLevel level, std::string_view event,
                     std::initializer_list<Pistachio::Logging::LogField> fields) override;

    // OrderRelayPorts
    [[nodiscard]] TimePoint now() const override { return now_; }
    [[nodiscard]] std::string_view zoneOf(const std::string &minion) const override;
    void handOver(const std::string &instance, std::string orders, Duration limit,
                  Pistachio::Transport::CallCompletion completion) override;
    void log(std::string_view event, std::initializer_list<Pistachio::Logging::LogField> fields) override;

    // RunObserver
    void runBegan(const std::string &minion, const Pistachio::Jobs::StartOrder &order) override;
    void runEnded(const std::string &minion, const Pistachio::Jobs::EndedRun &end) override;
    void endsAcknowledged(const std::string &minion, std::uint64_t number) override;
    void minionCrashed(const std::string &minion) override;

    void step(bool submits);
    void submit();
    void takeAnswers(const std::string &answers);
    void lead();
    [[nodiscard]] Pistachio::Jobs::EventTime moment() const;
    void schedule(Duration delay, std::function<void()> function);
    [[nodiscard]] Duration delay();
    [[nodiscard]] bool isLost();
    SimulatedMinion &minionAt(const std::string &address);
    Carrier &carrierAt(const std::string &instance);

    const Duration runTime_;
    TimePoint now_{std::chrono::hours(1)};
    Pistachio::RandomSource random_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::map<std::string, std::unique_ptr<SimulatedMinion>> minions_; ///< by address
    std::vector<std::unique_ptr<Carrier>> carriers_;
    std::vector<std::string> instances_;
    std::unique_ptr<Process> leaderClient_;
    std::unique_ptr<Pistachio::Jobs::JobStore> store_;
    std::unique_ptr<Leader> leader_;
    std::uint64_t term_ = 0;
    std::uint64_t leadership_ = 0; ///< distinguishes the answers for one leader from those for the next
    std::map<Pistachio::Jobs::TaskName, std::string> running_; ///< the minion of each task
    std::set<Pistachio::Jobs::TaskName> finished_;
    TimePoint nextJob_{};
    TimePoint nextTick_{};
    TimePoint nextReport_{};
};
