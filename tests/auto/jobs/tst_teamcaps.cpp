#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

const std::string first = "0000000000000001";
const std::string second = "0000000000000002";
const std::string third = "0000000000000003";

Wire::JobTeam team(const std::string &name, std::int64_t milliCores, double weight = 1)
{
    Wire::JobTeam result;
    result.set_name(name);
    result.set_weight(weight);
    if (milliCores > 0)
        result.mutable_cap()->set_milli_cores(milliCores);
    return result;
}

std::string jobId(std::uint64_t number)
{
    const auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

} // namespace

/// No start brings a team over its cap. The cell checks this after each step, from what runs on the minions.
class TeamCapsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TeamCapsTest);
    CPPUNIT_TEST(wideStepRunsInParts);
    CPPUNIT_TEST(teamUnderItsCapDoesNotWait);
    CPPUNIT_TEST(zeroIsNoLimit);
    CPPUNIT_TEST(spareCoresCount);
    CPPUNIT_TEST(gangStartsWholeOrNotAtAll);
    CPPUNIT_TEST(cutCapStopsNothingAndStartsNothing);
    CPPUNIT_TEST(newLeaderCountsAssignedTasks);
    CPPUNIT_TEST(cancelledRunsCountAfterLeaderChange);
    CPPUNIT_TEST(runsOnUnknownMinionCount);
    CPPUNIT_TEST(capHoldsWithoutControlInstances);
    CPPUNIT_TEST(orphansCount);
    CPPUNIT_TEST(runsOfARestartedMinionAreForgotten);
    CPPUNIT_TEST(teamsComeAndGo);
    CPPUNIT_TEST(capsHoldUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

    static void assertNoViolations(const SimulatedCell &cell, const std::string &name = {})
    {
        CPPUNIT_ASSERT_MESSAGE(name + (cell.violations.empty() ? "" : cell.violations.front()),
                               cell.violations.empty());
    }

    static std::int64_t held(const SimulatedCell &cell, TeamNumber number = 1)
    {
        return cell.scheduler().teamUsage().held(number).milliCores;
    }

    /// Lets team "a" fill its cap of three cores out of eight with tasks that take 3 s.
    static void fillCap(SimulatedCell &cell)
    {
        cell.configureTeams({team("a", 3000)});
        cell.addMinion("m", 4000, 3s);
        cell.addMinion("n", 4000, 3s);
        cell.run(1s);
        cell.team = "a";
        cell.submit(first, 6, 1000);
    }

    static void runScenario(std::uint64_t seed)
    {
        SimulatedCell cell(seed);
        RandomSource random(seed);
        cell.configureTeams({team("a", 4000), team("b", 6000), team("c", 0)});
        for (const auto *id : {"k", "l", "m", "n"})
            cell.addMinion(id, 4000, std::chrono::milliseconds(300 + random.below(2000)),
                           0.98 + 0.02 * random.fraction());
        std::uint64_t jobs = 0;
        for (int round = 0; round < 30; ++round) {
            cell.lostAnswers = random.below(3) == 0 ? 20 : 0;
            cell.lateOrders = random.below(3) == 0 ? 10 : 0;
            cell.failedProposals = random.below(4) == 0 ? 20 : 0;
            const bool gang = random.below(4) == 0;
            const std::vector<std::string> teams{"a", "a", "b", "c", ""};
            cell.team = teams[random.below(teams.size())];
            cell.submit(jobId(++jobs), 1 + static_cast<std::uint32_t>(random.below(4)),
                        500 + 500 * static_cast<std::int64_t>(random.below(2)),
                        [gang](Wire::JobStep &step) { step.set_gang(gang); });
            auto &minion = *std::next(cell.minions.begin(), static_cast<std::ptrdiff_t>(random.below(4)))->second;
            switch (random.below(8)) {
            case 0:
                minion.isCut = true;
                break;
            case 1:
                minion.restart(cell.now().time);
                break;
            case 2:
                cell.changeLeader();
                break;
            case 3:
                cell.cancel(jobId(1 + random.below(jobs)));
                break;
            case 4:
                cell.configureTeams({team("a", random.below(2) == 0 ? 1000 : 4000), team("b", 6000), team("c", 0)});
                break;
            case 5:
                for (const auto &[id, other] : cell.minions)
                    other->isCut = false;
                break;
            default:
                break;
            }
            cell.run(std::chrono::milliseconds(200 + random.below(1500)));
        }
        for (const auto &[id, other] : cell.minions)
            other->isCut = false;
        cell.lostAnswers = 0;
        cell.lateOrders = 0;
        cell.failedProposals = 0;
        cell.configureTeams({team("a", 4000), team("b", 6000), team("c", 0)});
        cell.run(60s);
        const auto name = "seed " + std::to_string(seed) + ": ";
        assertNoViolations(cell, name);
        for (std::uint64_t number = 1; number <= jobs; ++number)
            CPPUNIT_ASSERT_MESSAGE(name + "job " + jobId(number) + " is still active",
                                   cell.phase(jobId(number)) != JobPhase::Active);
        for (TeamNumber number = 1; number <= 3; ++number)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name + "a team holds what has ended", std::int64_t{0}, held(cell, number));
    }

public:
    // Guards against a step that never starts because it is wider than the cap.
    void wideStepRunsInParts()
    {
        SimulatedCell cell(1);
        fillCap(cell);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, cell.milliCoresOf("a"));
        cell.run(7s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, held(cell));
        assertNoViolations(cell);
    }

    // Guards against capacity that is reserved for a team at its cap, and against a round that its steps use up.
    void teamUnderItsCapDoesNotWait()
    {
        SimulatedCell cell(1);
        fillCap(cell);
        cell.run(500ms);
        for (std::uint64_t number = 10; number < 60; ++number)
            cell.submit(jobId(number), 1, number % 2 == 0 ? 4000 : 2000);
        cell.run(200ms);
        cell.team = "b";
        cell.submit(second, 2, 2000);
        cell.run(150ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.minionsRunning(second).size());
        assertNoViolations(cell);
    }

    // Guards against a cap of memory alone that stops all starts, as its cores are given as 0.
    void zeroIsNoLimit()
    {
        SimulatedCell cell(1);
        auto limited = team("a", 0);
        limited.mutable_cap()->set_memory_mb(100);
        cell.configureTeams({limited});
        cell.addMinion("m", 4000, 30s);
        cell.run(1s);
        cell.team = "a";
        cell.submit(first, 4, 1000, [](Wire::JobStep &step) { step.set_memory_mb(40); });
        cell.run(400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.minionsRunning(first).size());
    }

    // Guards against a team that gets around its cap with steps that reserve no cores.
    void spareCoresCount()
    {
        SimulatedCell cell(1);
        cell.configureTeams({team("a", 2000)});
        cell.addMinion("m", 8000, 30s);
        cell.run(1s);
        cell.team = "a";
        cell.submit(first, 5, 1000, [](Wire::JobStep &step) { step.set_uses_spare_cores(true); });
        cell.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.minionsRunning(first).size());
    }

    // Guards against a part of a gang at the cap, and against minions that are kept free for a gang that never fits.
    void gangStartsWholeOrNotAtAll()
    {
        SimulatedCell cell(1);
        fillCap(cell);
        cell.run(1s);
        cell.submit(second, 3, 1000, [](Wire::JobStep &step) { step.set_gang(true); });
        cell.submit(third, 4, 1000, [](Wire::JobStep &step) { step.set_gang(true); });
        cell.run(1s);
        CPPUNIT_ASSERT(cell.minionsRunning(second).empty());
        cell.team = "b";
        cell.submit(jobId(9), 5, 1000);
        cell.run(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, cell.minionsRunning(jobId(9)).size());
        cell.run(8s);
        CPPUNIT_ASSERT(cell.phase(second) == JobPhase::Completed);
        CPPUNIT_ASSERT(cell.minionsRunning(third).empty());
        CPPUNIT_ASSERT(cell.eventCounts["step-exceeds-cap"] > 0);
        assertNoViolations(cell);
    }

    // Guards against starts whose assignment was being committed when the cap was cut.
    void cutCapStopsNothingAndStartsNothing()
    {
        SimulatedCell cell(1);
        cell.configureTeams({team("a", 10'000)});
        cell.addMinion("m", 12'000, 4s);
        cell.run(1s);
        cell.team = "a";
        cell.submit(first, 6, 1000);
        cell.run(500ms);
        cell.commitDelay = 100ms;
        cell.submit(second, 4, 1000);
        cell.run(50ms);
        const auto stops = cell.stops;
        const auto starts = cell.starts;
        cell.configureTeams({team("a", 1000)});
        cell.run(3s);
        CPPUNIT_ASSERT_EQUAL(starts, cell.starts);
        CPPUNIT_ASSERT_EQUAL(stops, cell.stops);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6000}, cell.milliCoresOf("a"));
        cell.run(20s);
        CPPUNIT_ASSERT(cell.phase(second) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // Guards against a leader that plans before it counts what the one before assigned; the starts are late too.
    void newLeaderCountsAssignedTasks()
    {
        for (const auto origin : {SimulatedCell::StoreOrigin::Log, SimulatedCell::StoreOrigin::Snapshot}) {
            SimulatedCell cell(1);
            fillCap(cell);
            cell.submit(second, 6, 1000);
            cell.lateOrders = 100;
            cell.run(30ms);
            cell.loseLeader(SimulatedCell::Proposals::Committed);
            cell.run(100ms);
            cell.electLeader(origin);
            CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, held(cell));
            cell.lateOrders = 0;
            cell.run(20s);
            CPPUNIT_ASSERT(cell.phase(second) == JobPhase::Completed);
            assertNoViolations(cell);
        }
    }

    // Guards against a count that leaves out jobs that have ended while their runs go on.
    void cancelledRunsCountAfterLeaderChange()
    {
        SimulatedCell cell(1);
        fillCap(cell);
        cell.run(500ms);
        for (const auto &[id, minion] : cell.minions)
            minion->stopTime = 2s;
        cell.submit(second, 3, 1000);
        cell.cancel(first);
        cell.changeLeader();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, held(cell));
        cell.run(10s);
        CPPUNIT_ASSERT(cell.phase(second) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // Guards against runs that are forgotten with their minion while its lease lasts.
    void runsOnUnknownMinionCount()
    {
        SimulatedCell cell(1);
        fillCap(cell);
        cell.run(500ms);
        for (const auto &[id, minion] : cell.minions)
            minion->isCut = true;
        cell.loseLeader(SimulatedCell::Proposals::Committed);
        cell.removeFromStore("m");
        cell.removeFromStore("n");
        cell.addMinion("o", 4000, 1s);
        cell.electLeader(SimulatedCell::StoreOrigin::Snapshot);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, held(cell));
        cell.run(15s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    void capHoldsWithoutControlInstances()
    {
        SimulatedCell cell(1);
        fillCap(cell);
        cell.submit(second, 6, 1000);
        cell.run(500ms);
        cell.loseLeader(SimulatedCell::Proposals::Lost);
        cell.run(2s);
        cell.electLeader(SimulatedCell::StoreOrigin::Log);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, held(cell));
        cell.run(15s);
        CPPUNIT_ASSERT(cell.phase(second) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // Guards against a run that only its minion knows of, beside as many as the cap allows.
    void orphansCount()
    {
        SimulatedCell cell(1);
        fillCap(cell);
        cell.run(500ms);
        auto &minion = *cell.minions.at("m");
        minion.stopTime = 3s;
        StartOrder stray;
        stray.minion = minion.report.incarnation;
        stray.address = minion.report.address;
        stray.task = {{first, 0, 0}, 5};
        stray.run = 7;
        stray.leaseExpiresAtMs = minion.clock(cell.now().time) + 4000;
        stray.fence = {100, 0};
        CPPUNIT_ASSERT(minion.start(cell.now().time, stray).outcome == OrderOutcome::Done);
        for (int number = 0; number < 50 && cell.eventCounts["orphan-run"] == 0; ++number)
            cell.run(100ms);
        CPPUNIT_ASSERT_EQUAL(1, cell.eventCounts["orphan-run"]);
        CPPUNIT_ASSERT(held(cell) >= cell.milliCoresOf("a"));
    }

    // Guards against a cap that stays used up by a run whose end nobody can tell of: the rest of a gang that is done.
    void runsOfARestartedMinionAreForgotten()
    {
        SimulatedCell cell(1);
        cell.configureTeams({team("a", 2000)});
        cell.addMinion("m", 1000, 1s);
        auto &slow = cell.addMinion("n", 1000, 3s);
        cell.run(1s);
        cell.team = "a";
        cell.submit(first, 2, 1000, [](Wire::JobStep &step) { step.set_gang(true); });
        cell.run(2s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, held(cell));
        slow.restart(cell.now().time);
        cell.run(12s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, held(cell));
    }

    // Guards against a team that is free of its cap once it has left the configuration.
    void teamsComeAndGo()
    {
        SimulatedCell cell(1);
        fillCap(cell);
        cell.run(500ms);
        cell.configureTeams({});
        cell.submit(second, 6, 1000);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, cell.milliCoresOf("a"));
        cell.changeLeader();
        cell.run(500ms);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, cell.milliCoresOf("a"));
        std::vector<Wire::JobTeam> teams(199, team("other", 1000));
        for (std::size_t number = 0; number < teams.size(); ++number)
            teams[number].set_name("other" + std::to_string(number));
        teams.insert(teams.begin(), team("a", 8000));
        cell.configureTeams(teams);
        cell.run(500ms);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{8000}, cell.milliCoresOf("a"));
        cell.team = "other198";
        cell.submit(third, 2, 1000);
        cell.run(10s);
        CPPUNIT_ASSERT(cell.phase(third) == JobPhase::Completed);
    }

    void capsHoldUnderRandomFaults()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed)
            runScenario(seed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamCapsTest);
