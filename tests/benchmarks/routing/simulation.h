#pragma once

#include "core/random.h"
#include "routing/router.h"
#include "simulatedminion.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace Pistachio::Benchmark
{

enum class BalancerKind : std::uint8_t {
    TwoChoicesByShare,
    TwoChoicesByReport,
    RoundRobin,
    Random,
};

enum class SlotPolicyKind : std::uint8_t {
    Shares,
    Credits,
    LoadReports,
    Connections,
};

/// A combination of balancer, slot policy and admission control to measure.
struct Variant {
    std::string name;
    BalancerKind balancerKind = BalancerKind::TwoChoicesByShare;
    SlotPolicyKind slotPolicyKind = SlotPolicyKind::Shares;
    bool admissionControl = true;
};

struct Scenario {
    std::string name;
    std::size_t minions = 35;
    Duration meanService = 50ms;
    Duration timeout = 2s;
    double load = 1.0; ///< offered load relative to the capacity of all slots
    bool faults = false; ///< one slow, one failing and one silent minion
    bool skewedZones = false; ///< the first zone gets half of the load instead of a third
    bool skewedEntries = false; ///< the first entry of each zone gets half of the zone's load
};

struct Measurement {
    std::uint64_t requests = 0;
    std::uint64_t answeredInTime = 0; ///< answered with success before the deadline
    std::uint64_t refused = 0;
    std::uint64_t failed = 0; ///< `unknown` or a server error
    std::uint64_t attempts = 0;
    std::uint64_t attemptsAboveSlots = 0; ///< attempts sent to a minion that had as many open as it has slots
    std::uint64_t forwardedToOtherZone = 0;
    std::uint64_t forwardedToOtherRegion = 0;
    std::uint64_t answeredTwice = 0;
    double goodputShare = 0; ///< goodput relative to capacity
    Duration waitP50{};
    Duration waitP99{};
};

/// Simulates nine entries in three zones in virtual time, under an open-loop load. Two of the zones are in one region.
class Simulation
{
public:
    Simulation(Scenario scenario, const Variant &variant, std::uint64_t seed);
    ~Simulation();

    Measurement run();

private:
    struct Entry;
    struct Call;
    struct Event;

    void schedule(TimePoint time, std::function<void()> action);
    void announceMinions();
    void reportPeers();
    void generateRequest();
    void process(std::size_t entry);
    void scheduleTick(std::size_t entry);
    void execute(std::size_t entry, const Routing::Command &command);
    void sendToMinion(std::size_t entry, const Routing::SendCommand &command);
    void startWork(std::size_t minion, const Work &work);
    void finishAttempt(std::size_t entry, const Routing::AttemptId &attempt, Routing::AttemptEnd end,
                       std::uint32_t status, Duration delay);
    void closeAttempt(const Routing::AttemptId &attempt);
    void forward(std::size_t entry, const Routing::ForwardCommand &command);
    void answerCaller(std::size_t entry, const Routing::AnswerCommand &command);
    void countAnswer(Call &call, const Routing::AnswerCommand &command);
    [[nodiscard]] std::size_t drawEntry();
    [[nodiscard]] Duration drawExponential(Duration mean);

    Scenario scenario_;
    RandomSource random_;
    TimePoint now_;
    std::uint64_t sequence_ = 0;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::vector<SimulatedMinion> minions_;
    std::unordered_map<std::string, std::size_t> minionByAddress_;
    std::unordered_map<std::string, Call> calls_;
    std::unordered_map<std::string, std::pair<std::size_t, std::size_t>> openAttempts_; ///< minion and entry
    std::unordered_map<std::string, std::uint32_t> statusByAttempt_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<Duration> waits_;
    Measurement measurement_;
    std::uint64_t callCount_ = 0;
};

} // namespace Pistachio::Benchmark
