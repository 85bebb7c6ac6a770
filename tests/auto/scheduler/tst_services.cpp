#include "simulatedzone.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

using namespace Pistachio;
using namespace std::string_literals;
using Scheduler::BookingState;

namespace
{

constexpr std::uint32_t tasks = 3;
constexpr Duration maxRestart = 20s; ///< the lease of a lost worker, a poll and the commits
constexpr Duration maxFailureBackoff = 65s; ///< the longest delay between attempts, and a start

/// How the runs of a service end.
enum class RunEnding : std::uint8_t {
    Completed,
    Failed,
    MemoryExceeded,
    WorkerRestarted,
    WorkerCut,
    WorkerPaused,
    WorkerDrained,
    WorkerLeaves
};
constexpr auto runEndings = std::to_array({"completed", "failed", "memory exceeded", "worker restarted", "worker cut",
                                           "worker paused", "worker drained", "worker leaves"});

/// What else happens near the end.
enum class NearbyEvent : std::uint8_t {
    Nothing,
    LeaderChange,
    LeaderChangeLosingProposals,
    LongVacancy,
    LeaderLeaseLost,
    ProposalsRejected,
    MessagesLost
};
constexpr auto nearbyEvents
    = std::to_array({"nothing", "leader change", "leader change losing proposals", "20 s without a leader",
                     "leader lease lost", "proposals rejected", "messages lost"});

void beginEnding(SimulatedZone &zone, RunEnding ending)
{
    const std::string worker = zone.runningOn("service").empty() ? "w0" : zone.runningOn("service").front();
    const auto index = static_cast<std::size_t>(worker.back() - '0');
    switch (ending) {
    case RunEnding::MemoryExceeded:
        zone.memoryUse["service"] = 2LL << 30;
        break;
    case RunEnding::WorkerRestarted:
        zone.restartWorker(index);
        break;
    case RunEnding::WorkerCut:
        zone.partition(index, 10min);
        break;
    case RunEnding::WorkerPaused:
        zone.pauseWorker(index, 15s);
        break;
    case RunEnding::WorkerDrained:
        zone.proposeDrain(index, true);
        break;
    case RunEnding::WorkerLeaves:
        zone.agent(index).setLeaving(true);
        break;
    case RunEnding::Completed:
    case RunEnding::Failed:
        break;
    }
}

/// \return how long the event lasts.
Duration beginEvent(SimulatedZone &zone, NearbyEvent event)
{
    switch (event) {
    case NearbyEvent::LeaderChange:
    case NearbyEvent::LeaderChangeLosingProposals:
        zone.changeLeader(500ms, event == NearbyEvent::LeaderChange);
        return 500ms;
    case NearbyEvent::LongVacancy:
        zone.changeLeader(20s, false);
        return 20s;
    case NearbyEvent::LeaderLeaseLost:
        zone.loseLeaderLease(3s);
        return 3s;
    case NearbyEvent::ProposalsRejected:
        zone.rejectProposals = true;
        return 2s;
    case NearbyEvent::MessagesLost:
        zone.loseMessages(0.2);
        return 5s;
    case NearbyEvent::Nothing:
        break;
    }
    return 0s;
}

/// \return a description of the failure, or nothing.
std::string runScenario(RunEnding ending, NearbyEvent event, std::uint64_t seed)
{
    SimulatedZone::Options options;
    options.seed = seed;
    options.agentClockRate = seed % 2 == 0 ? 0.98 : 1.02;
    options.workers = 5;
    SimulatedZone zone(options);
    RandomSource random(seed);
    zone.book("service", Wire::WORK_KIND_SERVICE, tasks, 1500);
    zone.book("batch", Wire::WORK_KIND_BATCH, 60, 2000, Wire::STANDING_SPARE).set_checkpoint(true);
    zone.runTime["batch"] = 7s;
    if (ending == RunEnding::Completed)
        zone.runTime["service"] = 4s;
    bool isFailing = ending == RunEnding::Failed;
    zone.fails = [&](const std::string &, const std::string &booking) { return isFailing && booking == "service"; };
    zone.advance(5s);
    beginEnding(zone, ending);
    zone.advance(std::chrono::milliseconds(random.below(1000)));
    const Duration lasts = beginEvent(zone, event);
    zone.advance(lasts);
    zone.rejectProposals = false;
    zone.loseMessages(0);
    const bool isLong = ending == RunEnding::MemoryExceeded || ending == RunEnding::Failed;
    zone.advance(isLong ? 15s : ending == RunEnding::WorkerPaused ? 15s : 0s);
    zone.runTime.erase("service");
    zone.memoryUse.clear();
    isFailing = false;
    zone.advance(ending == RunEnding::Failed ? maxFailureBackoff : maxRestart);
    for (int round = 0; round < 20; ++round) {
        zone.advance(500ms);
        if (zone.runningOn("service").size() != tasks)
            return std::to_string(zone.runningOn("service").size()) + " tasks of the service run";
    }
    if (zone.stateOf("service") != BookingState::Running)
        return "the service is not shown as running";
    return zone.violations().empty() ? "" : zone.violations().front();
}

} // namespace

/// Services run again however their last run ended.
class ServicesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServicesTest);
    CPPUNIT_TEST(serviceRunsAgainHoweverItsRunEnded);
    CPPUNIT_TEST(failedTaskDoesNotKeepOthersAway);
    CPPUNIT_TEST(failureAfterLongRunIsRetriedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a service that stays away after a run ended, with another fault near it.
    void serviceRunsAgainHoweverItsRunEnded()
    {
        std::string failures;
        for (std::size_t ending = 0; ending < runEndings.size(); ++ending) {
            for (std::size_t event = 0; event < nearbyEvents.size(); ++event) {
                for (std::uint64_t seed = 1; seed <= 4; ++seed) {
                    const auto failure
                        = runScenario(static_cast<RunEnding>(ending), static_cast<NearbyEvent>(event), seed);
                    if (!failure.empty())
                        failures += "\n"s + runEndings.at(ending) + ", " + nearbyEvents.at(event) + ", seed "
                            + std::to_string(seed) + ": " + failure;
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }

    // Guards against a lost task of a service that is never queued again because another task had failed often.
    void failedTaskDoesNotKeepOthersAway()
    {
        SimulatedZone zone({});
        bool isFailing = true;
        zone.fails = [&](const std::string &worker, const std::string &) { return isFailing && worker != "w0"; };
        zone.book("service", Wire::WORK_KIND_SERVICE, 2, 8000);
        zone.advance(40s);
        CPPUNIT_ASSERT(zone.stateOf("service") == BookingState::Failing);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.runningOn("service").size());
        zone.partition(0, 10min);
        zone.advance(15s);
        isFailing = false;
        zone.advance(maxFailureBackoff);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, zone.runningOn("service").size());
        CPPUNIT_ASSERT(zone.violations().empty());
    }

    // Guards against a service that waits minutes after a crash because it had crashed often in the weeks before.
    void failureAfterLongRunIsRetriedAtOnce()
    {
        SimulatedZone zone({});
        zone.book("service", Wire::WORK_KIND_SERVICE, 1, 1000);
        zone.runTime["service"] = 5min;
        for (int crash = 0; crash < 8; ++crash) {
            zone.advance(5min + 5s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zone.runningOn("service").size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServicesTest);
