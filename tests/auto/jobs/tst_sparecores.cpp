#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

const std::string first = "0000000000000001";
const std::string second = "0000000000000002";
const std::string third = "0000000000000003";
constexpr std::int64_t minionCores = 16'000;
constexpr std::int64_t mostCores = 10'000; ///< more than half of a minion
constexpr Duration longRun = 1h;
constexpr Duration maxIdle = 9s; ///< a long-running task is owed 6 s after its last run, and 3 s more are allowed

void longRunningOnSpareCores(Wire::JobStep &step)
{
    step.set_long_running(true);
    step.set_uses_spare_cores(true);
}

void onSpareCores(Wire::JobStep &step)
{
    step.set_uses_spare_cores(true);
}

} // namespace

/// Tasks that use the cores which others leave, where few or none are left.
class SpareCoresTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SpareCoresTest);
    CPPUNIT_TEST(lostTaskRunsAgainBesideAnother);
    CPPUNIT_TEST(taskLargerThanAMinionRuns);
    CPPUNIT_TEST(jobWithoutIdleCoresBegins);
    CPPUNIT_TEST(newLeaderKnowsWhoUsesSpareCores);
    CPPUNIT_TEST_SUITE_END();

    static void assertNoViolations(const SimulatedCell &cell)
    {
        CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(), cell.violations.empty());
    }

public:
    // Guards against a lost task that fits nowhere for its spare cores, and reserves a minion on which nothing else is
    // placed any more.
    void lostTaskRunsAgainBesideAnother()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", minionCores, longRun);
        auto &lost = cell.addMinion("b", minionCores, longRun);
        cell.submit(first, 2, mostCores, longRunningOnSpareCores);
        cell.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost.runs.size());
        cell.destroy(lost);
        cell.run(maxIdle);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.minionsRunning(first).size());
        cell.submit(second, 5, 2000);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, cell.minionsRunning(second).size());
        assertNoViolations(cell);
    }

    // Guards against counting spare cores against the capacity of a minion.
    void taskLargerThanAMinionRuns()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", minionCores, longRun);
        cell.run(1s);
        cell.submit(first, 1, 2 * minionCores, longRunningOnSpareCores);
        cell.submit(second, 1, 2 * minionCores, onSpareCores);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), cell.firstMinionRunning(first));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), cell.firstMinionRunning(second));
    }

    // Guards against a job that never begins beside another one that uses all spare cores, and against the tasks of one
    // job that all share the cores of one minion.
    void jobWithoutIdleCoresBegins()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", minionCores, longRun);
        cell.run(1s);
        cell.submit(first, 4, mostCores, onSpareCores);
        cell.submit(second, 4, mostCores, onSpareCores);
        cell.run(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.minionsRunning(first).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.minionsRunning(second).size());
    }

    // Guards against a new leader that takes cores for idle which a running task uses without a reservation.
    void newLeaderKnowsWhoUsesSpareCores()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", minionCores, longRun);
        cell.run(1s);
        cell.submit(first, 1, mostCores, longRunningOnSpareCores);
        cell.run(1s);
        cell.addMinion("b", minionCores, longRun);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), cell.firstMinionRunning(first));
        cell.loseLeader(SimulatedCell::Proposals::Committed);
        cell.electLeader(SimulatedCell::StoreOrigin::Log);
        cell.run(2s);
        cell.submit(third, 1, mostCores, longRunningOnSpareCores);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), cell.firstMinionRunning(third));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpareCoresTest);
