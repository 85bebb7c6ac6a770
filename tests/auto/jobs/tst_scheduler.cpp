#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{
const std::string first = "0000000000000001";
const std::string second = "0000000000000002";

std::function<void(Wire::JobStep &)> estimate(Duration duration)
{
    return [duration](Wire::JobStep &step) { step.set_estimate_ms(duration / 1ms); };
}
} // namespace

class SchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerTest);
    CPPUNIT_TEST(jobRunsToItsEnd);
    CPPUNIT_TEST(silentMinionLosesItsTasks);
    CPPUNIT_TEST(slowClockIsWaitedFor);
    CPPUNIT_TEST(cancelledJobStops);
    CPPUNIT_TEST(drainingMinionGetsNothing);
    CPPUNIT_TEST(gangStartsTogether);
    CPPUNIT_TEST(jobOnAnUnreachableMinionIsPending);
    CPPUNIT_TEST(newLeaderKeepsRunningTasks);
    CPPUNIT_TEST(restartedMinionLosesItsTasksAtOnce);
    CPPUNIT_TEST(longRunningTaskIsStartedAgain);
    CPPUNIT_TEST(stalledTaskIsMovedOnce);
    CPPUNIT_TEST(tasksLeaveASlowMinion);
    CPPUNIT_TEST(longTasksAreNoSignOfASlowMinion);
    CPPUNIT_TEST(frozenLeaderFindsNoMinionSlow);
    CPPUNIT_TEST(silentMinionIsTheLastChoice);
    CPPUNIT_TEST(lostAnswersAreToldFromSilence);
    CPPUNIT_TEST(lastingTaskGoesFirst);
    CPPUNIT_TEST(roomIsKeptForALargeTask);
    CPPUNIT_TEST(largeTaskPreemptsWorkOfALaterQueue);
    CPPUNIT_TEST_SUITE_END();

    static void assertNoViolations(const SimulatedCell &cell)
    {
        CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(), cell.violations.empty());
    }

public:
    void jobRunsToItsEnd()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 1s);
        cell.submit(first, 6, 1000);
        cell.run(4s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // Unanswered orders must not prolong the lease that a silent minion is waited for.
    void silentMinionLosesItsTasks()
    {
        SimulatedCell cell(1);
        auto &lost = cell.addMinion("a", 4000, 20s);
        cell.submit(first, 1, 1000, estimate(5s));
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), cell.firstMinionRunning(first));
        lost.isCut = true;
        cell.addMinion("b", 4000, 5s);
        cell.run(7s);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), cell.firstMinionRunning(first));
        cell.run(6s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // A task is started elsewhere only when the lease is over on a clock that is 2% slow.
    void slowClockIsWaitedFor()
    {
        SimulatedCell cell(1);
        auto &lost = cell.addMinion("a", 4000, 60s, 0.98);
        cell.submit(first, 1, 1000, estimate(60s));
        cell.run(3s);
        lost.isCut = true;
        cell.addMinion("b", 4000, 30s);
        cell.run(10s);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), cell.firstMinionRunning(first));
        assertNoViolations(cell);
    }

    void cancelledJobStops()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 60s);
        cell.submit(first, 3, 1000);
        cell.run(1s);
        cell.lostAnswers = 60;
        cell.cancel(first);
        cell.run(3s);
        CPPUNIT_ASSERT(cell.minionsRunning(first).empty());
    }

    // A task on a minion that leaves would be cut off.
    void drainingMinionGetsNothing()
    {
        SimulatedCell cell(1);
        auto &leaving = cell.addMinion("a", 4000, 1s);
        cell.run(1s);
        leaving.report.draining = true;
        ++leaving.report.sequence;
        cell.report(leaving);
        cell.run(100ms);
        cell.submit(first, 1, 1000);
        cell.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.starts);
        // A late report from before must not bring it back.
        leaving.report.draining = false;
        cell.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.starts);
    }

    // Members that start alone hold room without working.
    void gangStartsTogether()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 1s);
        cell.submit(first, 1, 3000);
        cell.run(300ms);
        cell.submit(second, 4, 1000, [](Wire::JobStep &step) { step.set_gang(true); });
        cell.run(300ms);
        CPPUNIT_ASSERT(cell.minionsRunning(second).empty());
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cell.minionsRunning(second).size());
        assertNoViolations(cell);
    }

    // Such a job has not begun, so the queue must not be shown as empty.
    void jobOnAnUnreachableMinionIsPending()
    {
        SimulatedCell cell(1);
        auto &lost = cell.addMinion("a", 4000, 20s);
        cell.run(500ms);
        lost.isCut = true;
        cell.submit(first, 1, 1000);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(1U, cell.pending());
        lost.isCut = false;
        cell.run(4s);
        CPPUNIT_ASSERT_EQUAL(0U, cell.pending());
    }

    void newLeaderKeepsRunningTasks()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 5s);
        cell.submit(first, 2, 1000, estimate(5s));
        cell.run(1s);
        const auto starts = cell.starts;
        cell.changeLeader();
        cell.run(7s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(starts, cell.starts);
        assertNoViolations(cell);
    }

    void restartedMinionLosesItsTasksAtOnce()
    {
        SimulatedCell cell(1);
        auto &minion = cell.addMinion("a", 4000, 3s);
        cell.submit(first, 1, 1000);
        cell.run(1s);
        minion.restart(cell.now().time);
        cell.report(minion);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.starts);
        cell.run(4s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
    }

    // A minion on which work stands still keeps its lease, so nothing else would free the task.
    void stalledTaskIsMovedOnce()
    {
        SimulatedCell cell(1);
        auto &stalled = cell.addMinion("a", 4000, 1s);
        stalled.standsStill = true;
        cell.submit(first, 1, 1000);
        cell.run(500ms);
        cell.addMinion("b", 4000, 1s);
        cell.run(5s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.starts);
        assertNoViolations(cell);
    }

    // Tasks stayed on minions that were six times slower than others, since they did move.
    void tasksLeaveASlowMinion()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 12s);
        cell.addMinion("b", 4000, 2s);
        cell.submit(first, 8, 1000, estimate(2s));
        cell.run(7s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // Moving them would throw away work on minions that are well.
    void longTasksAreNoSignOfASlowMinion()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 12s);
        cell.addMinion("b", 4000, 12s);
        cell.submit(first, 8, 1000, estimate(2s));
        cell.run(14s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, cell.starts);
        assertNoViolations(cell);
    }

    // Answers from before its freeze show little progress, which a leader took for that of the whole time.
    void frozenLeaderFindsNoMinionSlow()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 30s);
        cell.submit(first, 1, 1000, estimate(30s));
        cell.submit(second, 1, 1000, estimate(30s));
        cell.run(3s);
        cell.freezeLeader(12s);
        cell.run(2s);
        CPPUNIT_ASSERT_EQUAL(0, cell.eventCounts["minion-slow"]);
    }

    // A task given to a minion that has just fallen silent waited for its lease.
    void silentMinionIsTheLastChoice()
    {
        SimulatedCell cell(1);
        auto &fullest = cell.addMinion("a", 4000, 300ms);
        cell.addMinion("b", 8000, 300ms);
        cell.run(1s);
        cell.submit(first, 1, 1000);
        cell.run(100ms);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), cell.firstMinionRunning(first));
        cell.run(1s);
        fullest.isCut = true;
        cell.run(1500ms); // a hold is given up after its wait and the client's limit, 1.2 s here
        cell.submit(second, 1, 1000);
        cell.run(1s);
        CPPUNIT_ASSERT(cell.phase(second) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // Shorter holds on account of a silent minion would only add to the load.
    void lostAnswersAreToldFromSilence()
    {
        AnswerLossDetector watch;
        const TimePoint now{1h};
        CPPUNIT_ASSERT(!watch.isLossy(now));
        watch.recordLoss(now);
        watch.recordLoss(now + 100ms);
        CPPUNIT_ASSERT(!watch.isLossy(now + 200ms));
        watch.recordLoss(now + 200ms);
        CPPUNIT_ASSERT(watch.isLossy(now + 300ms));
        CPPUNIT_ASSERT(!watch.isLossy(now + 2100ms));
    }

    // Behind work that is on time, a task that serves all the time waited 30 s to be started again.
    void lastingTaskGoesFirst()
    {
        SimulatedCell cell(1);
        auto &lost = cell.addMinion("a", 1000, 600s);
        cell.submit(first, 1, 1000, [](Wire::JobStep &step) { step.set_long_running(true); });
        cell.run(20s);
        cell.addMinion("b", 1000, 2s);
        for (int number = 0; number < 20; ++number)
            cell.submit("00000000000001" + std::to_string(10 + number), 1, 1000, estimate(60s));
        lost.isCut = true;
        cell.run(9s);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), cell.firstMinionRunning(first));
        assertNoViolations(cell);
    }

    // Small tasks took each gap, so that a task that needs a whole minion waited until none came any more.
    void roomIsKeptForALargeTask()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 2s);
        const auto addSmall = [&cell](int number) {
            cell.submit("00000000000001" + std::to_string(10 + number), 1, 1000, estimate(2s));
        };
        for (int number = 0; number < 4; ++number) {
            addSmall(number);
            cell.run(500ms);
        }
        cell.submit(second, 1, 4000, estimate(2s));
        for (int number = 4; number < 16; ++number) {
            addSmall(number);
            cell.run(500ms);
        }
        CPPUNIT_ASSERT(cell.phase(second) == JobPhase::Completed || cell.firstMinionRunning(second) == "a");
        assertNoViolations(cell);
    }

    // The others go on from their checkpoints, and have time to spare.
    void largeTaskPreemptsWorkOfALaterQueue()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 20s);
        Wire::JobSpec spec;
        auto &item = *spec.add_steps();
        item.set_tasks(4);
        item.set_milli_cores(1000);
        item.set_estimate_ms(20'000);
        item.set_checkpointing(true);
        cell.submit(first, spec, SimulatedCell::Queue::LowPriority);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cell.minionsRunning(first).size());
        cell.submit(second, 1, 4000, estimate(5s));
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), cell.firstMinionRunning(second));
        cell.run(20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cell.minionsRunning(first).size());
        assertNoViolations(cell);
    }

    void longRunningTaskIsStartedAgain()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 1s);
        cell.submit(first, 1, 1000, [](Wire::JobStep &step) { step.set_long_running(true); });
        cell.run(5s);
        CPPUNIT_ASSERT(cell.starts >= 4);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Active);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerTest);
