#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
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
    CPPUNIT_TEST(submittedJobCompletes);
    CPPUNIT_TEST(unresponsiveMinionLosesItsTasks);
    CPPUNIT_TEST(leaseOnSlowClockIsWaitedFor);
    CPPUNIT_TEST(cancelledJobStopsDespiteLostAnswers);
    CPPUNIT_TEST(drainingMinionGetsNoTasks);
    CPPUNIT_TEST(gangStartsOnlyAsAWhole);
    CPPUNIT_TEST(jobOnUnreachableMinionIsPending);
    CPPUNIT_TEST(newLeaderKeepsRunningTasks);
    CPPUNIT_TEST(restartedMinionLosesItsTasksAtOnce);
    CPPUNIT_TEST(endedLongRunningTaskIsRestarted);
    CPPUNIT_TEST(unreadableRowEndsRunningTask);
    CPPUNIT_TEST(unreadableRowKeepsLostStartsForever);
    CPPUNIT_TEST(unreadableProgressMovesTask);
    CPPUNIT_TEST(endOfAbsentTaskCrashesTheLeader);
    CPPUNIT_TEST(stalledTaskIsMovedOnce);
    CPPUNIT_TEST(tasksMoveOffSlowMinion);
    CPPUNIT_TEST(tasksSlowEverywhereAreNotMoved);
    CPPUNIT_TEST(suspendedLeaderFindsNoMinionSlow);
    CPPUNIT_TEST(unresponsiveMinionIsChosenLast);
    CPPUNIT_TEST(severalLossesInShortTimeAreLossy);
    CPPUNIT_TEST(longRunningTaskIsPlacedFirst);
    CPPUNIT_TEST(capacityIsReservedForLargeTask);
    CPPUNIT_TEST(largeTaskPreemptsLowerPriorityQueue);
    CPPUNIT_TEST(shortLeaseIsRenewedInTime);
    CPPUNIT_TEST(minionIsKeptUntilReportsAreMissing);
    CPPUNIT_TEST(unansweredStartIsNotRepeatedPastItsLimit);
    CPPUNIT_TEST_SUITE_END();

    static void assertNoViolations(const SimulatedCell &cell)
    {
        CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(), cell.violations.empty());
    }

public:
    // Guards the basic sequence of assignment, start, end and completion.
    void submittedJobCompletes()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 1s);
        cell.submit(first, 6, 1000);
        cell.run(4s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // Unanswered orders must not prolong the lease of an unresponsive minion, or its tasks would never move.
    void unresponsiveMinionLosesItsTasks()
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

    // A task that starts elsewhere before the lease expires on a clock that is 2% slow would run twice.
    void leaseOnSlowClockIsWaitedFor()
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

    // Stop orders must be repeated when answers are lost.
    void cancelledJobStopsDespiteLostAnswers()
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

    // A task that starts on a draining minion would be aborted.
    void drainingMinionGetsNoTasks()
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
        // A delayed earlier report must not undo the draining state.
        leaving.report.draining = false;
        cell.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.starts);
    }

    // Gang members that start alone occupy capacity without doing any work.
    void gangStartsOnlyAsAWhole()
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

    // An assigned job has not begun before its start is confirmed, so it must be counted as pending.
    void jobOnUnreachableMinionIsPending()
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

    // A new leader must adopt running tasks instead of starting them again.
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

    // The tasks of an earlier incarnation are gone; waiting for its lease would only delay them.
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

    // A task whose row can't be read for a moment would be started again while it runs.
    void unreadableRowEndsRunningTask()
    {
        SimulatedCell cell(1);
        auto &minion = cell.addMinion("a", 4000, 5s);
        cell.submit(first, 2, 1000, estimate(5s));
        cell.run(3s);
        minion.hidesRuns = true;
        cell.run(800ms);
        minion.hidesRuns = false;
        cell.run(4s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.starts);
        assertNoViolations(cell);
    }

    // One row of another writer must not make the leader wait for what was lost on its way, or no longer is there.
    void unreadableRowKeepsLostStartsForever()
    {
        SimulatedCell cell(1);
        for (const auto *id : {"a", "b"})
            cell.addMinion(id, 4000, 1s).hasOddRow = true;
        cell.lateOrders = 100;
        cell.submit(first, 4, 1000, estimate(1s));
        cell.run(300ms);
        cell.changeLeader();
        cell.run(2s);
        cell.lateOrders = 0;
        cell.run(15s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // Progress that can't be read is not a lack of progress.
    void unreadableProgressMovesTask()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 3s).hidesProgress = true;
        cell.submit(first, 1, 1000, estimate(3s));
        cell.run(500ms);
        cell.addMinion("b", 4000, 3s);
        cell.run(4s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.starts);
        assertNoViolations(cell);
    }

    // A row that names a step or a task that its job doesn't have ended each leader in turn.
    void endOfAbsentTaskCrashesTheLeader()
    {
        SimulatedCell cell(1);
        auto &minion = cell.addMinion("a", 4000, 9s);
        cell.submit(first, 2, 1000, estimate(9s));
        cell.run(1s);
        constexpr auto largest = std::numeric_limits<std::uint32_t>::max();
        minion.strayEnds = {{1, {{first, 0, 99}, 0}, 1, RunEnd::Done, ""},
                            {2, {{first, largest, 0}, 0}, 1, RunEnd::Done, ""},
                            {3, {{first, 0, 0}, largest}, 1, RunEnd::Done, ""},
                            {4, {{first, 0, largest}, largest}, 1, RunEnd::Failed, ""}};
        cell.run(2s);
        cell.changeLeader();
        cell.run(2s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Active);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.starts);
        assertNoViolations(cell);
    }

    // A minion whose tasks make no progress still renews its lease, so nothing else would move the task.
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

    // Guards against tasks that stay on a minion six times slower than others because they do make some progress.
    void tasksMoveOffSlowMinion()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 12s);
        cell.addMinion("b", 4000, 2s);
        cell.submit(first, 8, 1000, estimate(2s));
        cell.run(7s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // Moving tasks that take long on any minion would discard work on healthy ones.
    void tasksSlowEverywhereAreNotMoved()
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

    // Guards against a leader that takes the progress in answers from before its suspension for that of the whole time.
    void suspendedLeaderFindsNoMinionSlow()
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

    // Guards against minions that are given up between two renewals where the longest lease is short.
    void shortLeaseIsRenewedInTime()
    {
        SchedulerSettings settings;
        settings.lease = 1s;
        SimulatedCell cell(1, settings);
        cell.addMinion("a", 4000, 1s, 0.98);
        cell.run(5s);
        cell.submit(first, 1, 1000);
        cell.run(100ms);
        CPPUNIT_ASSERT_EQUAL(0, cell.eventCounts["minion-lost"]);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), cell.firstMinionRunning(first));
        cell.run(2s);
        CPPUNIT_ASSERT(cell.phase(first) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // Guards against minions that are forgotten between two reports where these are far apart.
    void minionIsKeptUntilReportsAreMissing()
    {
        const auto forgotten = [](Duration reportInterval) {
            SchedulerSettings settings;
            settings.reportInterval = reportInterval;
            SimulatedCell cell(1, settings);
            cell.addMinion("a", 4000, 1s);
            cell.run(1s);
            cell.minions.at("a")->isCut = true;
            cell.run(12s);
            return cell.eventCounts["minion-forgotten"];
        };
        CPPUNIT_ASSERT_EQUAL(1, forgotten(1500ms));
        CPPUNIT_ASSERT_EQUAL(0, forgotten(5s));
    }

    // Guards against a start on a minion whose time to leave is over, or beside members of a gang that no longer wait.
    void unansweredStartIsNotRepeatedPastItsLimit()
    {
        const auto starts = [](Duration startLimit) {
            SchedulerSettings settings;
            settings.startLimit = startLimit;
            SimulatedCell cell(1, settings);
            cell.addMinion("a", 4000, 10s);
            cell.run(1s);
            cell.minions.at("a")->isCut = true;
            cell.submit(first, 1, 1000);
            cell.run(3500ms);
            return cell.starts;
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, starts(10s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts(1s));
    }

    // Guards against tasks that wait for a lease to expire, placed on a minion that has just become unresponsive.
    void unresponsiveMinionIsChosenLast()
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
        cell.run(1500ms); // a lease renewal times out after its wait and the client's limit, 1.2 s here
        cell.submit(second, 1, 1000);
        cell.run(1s);
        CPPUNIT_ASSERT(cell.phase(second) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // Shorter renewal waits because of a single unresponsive minion would only add load.
    void severalLossesInShortTimeAreLossy()
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

    // Guards against a long-running task that waits 30 s for its restart behind work that is on time.
    void longRunningTaskIsPlacedFirst()
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

    // Guards against starving a task that needs a whole minion while small tasks take all capacity as it becomes free.
    void capacityIsReservedForLargeTask()
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

    // A large task would wait although checkpointing tasks with slack could make way for it.
    void largeTaskPreemptsLowerPriorityQueue()
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

    // A long-running task that ends must be restarted, and its job must stay active.
    void endedLongRunningTaskIsRestarted()
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
