#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

const std::string first = "0000000000000001";
const std::string second = "0000000000000002";
constexpr Duration maxIdle = 6s; ///< a long-running task that fits runs again by then

void longRunning(Wire::JobStep &step)
{
    step.set_long_running(true);
}

std::string otherJob(int number)
{
    return "00000000000001" + std::to_string(10 + number);
}

void runUntilAssigned(SimulatedCell &cell)
{
    const auto before = cell.eventCounts["tasks-assigned"];
    for (int steps = 0; steps < 100 && cell.eventCounts["tasks-assigned"] == before; ++steps)
        cell.run(10ms);
}

} // namespace

/// Single causes that kept a long-running task from running again.
class LostRunsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LostRunsTest);
    CPPUNIT_TEST(assignmentToLeavingMinionIsGivenAway);
    CPPUNIT_TEST(assignmentToRebornMinionIsGivenAway);
    CPPUNIT_TEST(endIsRecordedThoughItsProposalFails);
    CPPUNIT_TEST(droppedAssignmentFreesItsCapacity);
    CPPUNIT_TEST(newServiceOfQueueAppliesToWaitingTasks);
    CPPUNIT_TEST(failingMinionIsUsedIfNoOtherHasRoom);
    CPPUNIT_TEST(slowMinionIsUsedIfNoOtherHasRoom);
    CPPUNIT_TEST(minionWithoutRoomIsNotTriedForever);
    CPPUNIT_TEST(taskThatFitsNowhereReservesNothing);
    CPPUNIT_TEST(smallTasksDontTakeFreedMemory);
    CPPUNIT_TEST(newLeaderStopsTheRestOfAGang);
    CPPUNIT_TEST(longRunningTaskIsNotExpectedToEnd);
    CPPUNIT_TEST_SUITE_END();

    static void assertRuns(SimulatedCell &cell, const std::string &job)
    {
        cell.run(maxIdle);
        CPPUNIT_ASSERT_MESSAGE("the task doesn't run", !cell.firstMinionRunning(job).empty());
        CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(), cell.violations.empty());
    }

public:
    // Guards against an assignment that is committed while its minion leaves, and is never started anywhere.
    void assignmentToLeavingMinionIsGivenAway()
    {
        SimulatedCell cell(1);
        auto &leaving = cell.addMinion("a", 1000, 1h);
        cell.addMinion("b", 4000, 1h);
        cell.run(1s);
        cell.submit(first, 1, 1000, longRunning);
        runUntilAssigned(cell);
        cell.leave(leaving);
        assertRuns(cell, first);
    }

    // Guards against an assignment to the earlier incarnation of a minion that is recorded anew before the commit.
    void assignmentToRebornMinionIsGivenAway()
    {
        SimulatedCell cell(1);
        auto &minion = cell.addMinion("a", 4000, 1h);
        cell.run(1s);
        cell.submit(first, 1, 1000, longRunning);
        runUntilAssigned(cell);
        minion.restart(cell.now().time);
        cell.report(minion);
        assertRuns(cell, first);
    }

    // Guards against a run of a removed minion whose end isn't proposed again when its proposal is not appended.
    void endIsRecordedThoughItsProposalFails()
    {
        SimulatedCell cell(1);
        auto &leaving = cell.addMinion("a", 1000, 1h);
        cell.submit(first, 1, 1000, longRunning);
        cell.run(1s);
        cell.addMinion("b", 4000, 1h);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), cell.firstMinionRunning(first));
        cell.loseLeader(SimulatedCell::Proposals::Lost);
        cell.leave(leaving);
        cell.removeFromStore("a");
        cell.failedProposals = 100;
        cell.electLeader(SimulatedCell::StoreOrigin::Log);
        cell.run(100ms);
        cell.failedProposals = 0;
        assertRuns(cell, first);
    }

    // Guards against capacity that stays reserved for an assignment that the store dropped with its cancelled job.
    void droppedAssignmentFreesItsCapacity()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 1000, 1h);
        cell.run(1s);
        cell.submit(first, 1, 1000);
        runUntilAssigned(cell);
        cell.cancel(first);
        cell.submit(second, 1, 1000, longRunning);
        assertRuns(cell, second);
    }

    // Guards against tasks that wait for the minions of the service that their queue had before.
    void newServiceOfQueueAppliesToWaitingTasks()
    {
        SimulatedCell cell(1);
        cell.configure("other");
        cell.addMinion("a", 4000, 1h);
        cell.submit(first, 1, 1000, longRunning);
        cell.run(1s);
        CPPUNIT_ASSERT(cell.firstMinionRunning(first).empty());
        cell.configure("service");
        assertRuns(cell, first);
    }

    // Guards against waiting for 8 s and more because the only minion with room has failed other jobs.
    void failingMinionIsUsedIfNoOtherHasRoom()
    {
        SimulatedCell cell(1);
        auto &minion = cell.addMinion("a", 4000, 200ms);
        minion.failsEverything = true;
        for (int number = 0; number < 3; ++number)
            cell.submit(otherJob(number), 3, 1000);
        cell.run(1500ms);
        CPPUNIT_ASSERT(cell.eventCounts["minion-avoided"] > 0);
        const auto before = cell.starts;
        cell.submit(first, 1, 1000, longRunning);
        cell.run(maxIdle);
        CPPUNIT_ASSERT(cell.starts > before);
    }

    // Guards against a long-running task that never starts because the only minion with room is found slow again.
    void slowMinionIsUsedIfNoOtherHasRoom()
    {
        SimulatedCell cell(1);
        auto &slow = cell.addMinion("a", 8000, 20s);
        slow.standsStill = true;
        for (int number = 0; number < 4; ++number)
            cell.submit(otherJob(number), 1, 1000, [](Wire::JobStep &step) { step.set_estimate_ms(2000); });
        cell.run(8s);
        CPPUNIT_ASSERT(cell.eventCounts["minion-slow"] > 0);
        cell.submit(first, 1, 1000, longRunning);
        cell.run(100ms);
        assertRuns(cell, first);
    }

    // Guards against starts that are sent to the same minion over and over though it has less room than it reports.
    void minionWithoutRoomIsNotTriedForever()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 1000, 1h);
        cell.addMinion("b", 4000, 1h);
        cell.startFault = [](const StartOrder &order) -> std::optional<OrderOutcome> {
            return order.minion.id == "a" ? std::optional(OrderOutcome::InsufficientCapacity) : std::nullopt;
        };
        cell.run(1s);
        cell.submit(first, 1, 1000, longRunning);
        assertRuns(cell, first);
    }

    // Guards against a task beyond its limit per minion that keeps a minion free which another task needs.
    void taskThatFitsNowhereReservesNothing()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 1h);
        cell.submit(first, 2, 1000, [](Wire::JobStep &step) {
            step.set_long_running(true);
            step.set_max_per_minion(1);
        });
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.minionsRunning(first).size());
        cell.submit(second, 1, 1000, longRunning);
        assertRuns(cell, second);
    }

    // Guards against reserving the minion with the most free cores, whose memory is used by another service for good.
    void smallTasksDontTakeFreedMemory()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 8000, 1h);
        cell.submit(first, 1, 100, [](Wire::JobStep &step) {
            step.set_long_running(true);
            step.set_memory_mb(900);
        });
        cell.run(1s);
        cell.addMinion("b", 4000, 1s);
        const auto addSmall = [&cell](int number) {
            cell.submit(otherJob(number), 1, 1000, [](Wire::JobStep &step) { step.set_memory_mb(250); });
        };
        for (int number = 0; number < 8; ++number) {
            addSmall(number);
            cell.run(250ms);
        }
        cell.submit(second, 1, 100, [](Wire::JobStep &step) {
            step.set_long_running(true);
            step.set_memory_mb(600);
        });
        for (int number = 8; number < 32; ++number) {
            addSmall(number);
            cell.run(250ms);
            if (!cell.firstMinionRunning(second).empty())
                return;
        }
        CPPUNIT_FAIL("the task doesn't run");
    }

    // Guards against a gang that waits for its running members, since the leader that had to stop them is gone.
    void newLeaderStopsTheRestOfAGang()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 1h);
        cell.submit(first, 2, 1000, [](Wire::JobStep &step) {
            step.set_long_running(true);
            step.set_gang(true);
        });
        cell.run(1s);
        const TaskName ended{{first, 0, 0}, 0};
        cell.minionRunning(ended)->runs.at(ended).endsAt = cell.now().time;
        cell.run(20ms);
        CPPUNIT_ASSERT(!cell.minionRunning(ended));
        cell.loseLeader(SimulatedCell::Proposals::Committed);
        cell.run(100ms);
        cell.electLeader(SimulatedCell::StoreOrigin::Log);
        assertRuns(cell, first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.minionsRunning(first).size());
    }

    // Guards against reserving the minion of a long-running task, which never ends, for a large task.
    void longRunningTaskIsNotExpectedToEnd()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 3000, 1h);
        cell.submit(first, 1, 3000, longRunning);
        cell.run(2s);
        cell.addMinion("b", 4000, 2s);
        const auto addSmall = [&cell](int number) {
            cell.submit(otherJob(number), 1, 1000, [](Wire::JobStep &step) { step.set_estimate_ms(2000); });
        };
        for (int number = 0; number < 4; ++number) {
            addSmall(number);
            cell.run(500ms);
        }
        cell.submit(second, 1, 3000, [](Wire::JobStep &step) { step.set_estimate_ms(2000); });
        for (int number = 4; number < 16; ++number) {
            addSmall(number);
            cell.run(500ms);
            if (cell.firstMinionRunning(second) == "b")
                return;
        }
        CPPUNIT_FAIL("the large task doesn't run");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostRunsTest);
