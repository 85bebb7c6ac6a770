#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <utility>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

const std::string job = "0000000000000001";
constexpr Duration longRun = 1h;

std::string jobNumber(int number)
{
    return "00000000000001" + std::to_string(10 + number);
}

std::function<void(Wire::JobStep &)> estimate(Duration duration)
{
    return [duration](Wire::JobStep &step) { step.set_estimate_ms(duration / 1ms); };
}

void longRunning(Wire::JobStep &step)
{
    step.set_long_running(true);
}

void assertNoViolations(const SimulatedCell &cell)
{
    CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(), cell.violations.empty());
}

} // namespace

/// What the leader takes for the end of a run, after which the task may run again.
class RunEndsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunEndsTest);
    CPPUNIT_TEST(endsBeyondTheFirstListAreAwaited);
    CPPUNIT_TEST(runsOfALeavingMinionWorkUntilItsLeaseEnds);
    CPPUNIT_TEST(runsOfALeavingMinionAreStopped);
    CPPUNIT_TEST(lateLeaveOfAnEarlierIncarnationEndsNothing);
    CPPUNIT_TEST(repeatedStartInALaterIncarnationIsStopped);
    CPPUNIT_TEST(newLeaderStopsRunsInALaterIncarnation);
    CPPUNIT_TEST(startOnANewConnectionMayWorkInALaterIncarnation);
    CPPUNIT_TEST(incarnationWithAnEarlierBirthIsNotAwaitedForever);
    CPPUNIT_TEST_SUITE_END();

    /// Has minion "a" crash as a start arrives, and its next incarnation, which hasn't reported, carry out the repeated
    /// one. Minion "b" has room as well.
    static SimulatedMinion &startInLaterIncarnation(SimulatedCell &cell)
    {
        auto &minion = cell.addMinion("a", 4000, longRun);
        minion.stopTime = SchedulerSettings().stopTimeout;
        cell.run(1s);
        bool hasCrashed = false;
        cell.startFault = [&](const StartOrder &order) -> std::optional<OrderOutcome> {
            if (!std::exchange(hasCrashed, true)) {
                minion.restart(cell.now().time);
                minion.isCut = true;
                return OrderOutcome::Unanswered;
            }
            if (order.minion.id != "a" || !minion.runs.empty())
                return std::nullopt;
            minion.start(cell.now().time, order);
            return OrderOutcome::Unanswered;
        };
        cell.submit(job, 1, 1000, longRunning);
        cell.run(200ms);
        cell.addMinion("b", 4000, longRun);
        for (int steps = 0; steps < 200 && minion.runs.empty(); ++steps)
            cell.run(10ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, minion.runs.size());
        cell.startFault = {};
        minion.isCut = false;
        return minion;
    }

public:
    // Guards against starting tasks again that have ended done, as their ends are not among the first that are listed.
    void endsBeyondTheFirstListAreAwaited()
    {
        constexpr int jobs = 14;
        constexpr std::uint32_t tasks = 50;
        SimulatedCell cell(1);
        auto &minion = cell.addMinion("a", 10'000, 800ms);
        cell.run(1s);
        for (int number = 0; number < jobs; ++number)
            cell.submit(jobNumber(number), tasks, 10, estimate(800ms));
        cell.run(500ms);
        CPPUNIT_ASSERT_EQUAL(jobs * std::size_t{tasks}, minion.runs.size());
        cell.loseLeader(SimulatedCell::Proposals::Committed);
        cell.run(1s);
        CPPUNIT_ASSERT(minion.runs.empty());
        cell.electLeader(SimulatedCell::StoreOrigin::Log);
        cell.run(5s);
        CPPUNIT_ASSERT_EQUAL(jobs * std::size_t{tasks}, cell.starts);
        for (int number = 0; number < jobs; ++number)
            CPPUNIT_ASSERT(cell.phase(jobNumber(number)) == JobPhase::Completed);
        assertNoViolations(cell);
    }

    // Guards against starting the tasks of a minion elsewhere that has deregistered and works on, as it isn't told that
    // the leader knows.
    void runsOfALeavingMinionWorkUntilItsLeaseEnds()
    {
        SimulatedCell cell(1);
        auto &leaving = cell.addMinion("a", 4000, longRun);
        cell.run(1s);
        cell.submit(job, 4, 1000, longRunning);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, leaving.runs.size());
        cell.addMinion("b", 4000, longRun);
        leaving.report.draining = true;
        ++leaving.report.sequence;
        cell.report(leaving);
        cell.run(500ms);
        leaving.isCut = true;
        cell.deregister(leaving.report.incarnation);
        cell.run(8s);
        assertNoViolations(cell);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cell.minions.at("b")->runs.size());
    }

    // Guards against throwing away the work of a minion that leaves: it ends once the leader confirms its departure.
    void runsOfALeavingMinionAreStopped()
    {
        SimulatedCell cell(1);
        auto &leaving = cell.addMinion("a", 4000, longRun);
        leaving.stopTime = SchedulerSettings().stopTimeout;
        cell.run(1s);
        cell.submit(job, 4, 1000, longRunning);
        cell.run(1s);
        cell.addMinion("b", 4000, longRun);
        leaving.report.draining = true;
        ++leaving.report.sequence;
        cell.report(leaving);
        cell.run(500ms);
        bool isConfirmed = false;
        cell.deregister(leaving.report.incarnation, [&](bool confirmed) {
            isConfirmed = confirmed;
            CPPUNIT_ASSERT(leaving.runs.empty());
            cell.destroy(leaving);
        });
        CPPUNIT_ASSERT(!isConfirmed);
        cell.run(800ms);
        CPPUNIT_ASSERT(isConfirmed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cell.minions.at("b")->runs.size());
        assertNoViolations(cell);
    }

    // Guards against starting the tasks of a minion elsewhere because of a deregistration of its earlier incarnation.
    void lateLeaveOfAnEarlierIncarnationEndsNothing()
    {
        SimulatedCell cell(1);
        auto &minion = cell.addMinion("a", 4000, longRun);
        cell.run(1s);
        minion.restart(cell.now().time);
        cell.report(minion);
        cell.run(1s);
        cell.submit(job, 4, 1000, longRunning);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, minion.runs.size());
        cell.addMinion("b", 4000, longRun);
        cell.run(1s);
        // The deregistration doesn't say which incarnation it is of.
        cell.deregister({"a", 0});
        cell.run(8s);
        assertNoViolations(cell);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cell.starts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, minion.runs.size());
    }

    // Guards against a task that works in the next incarnation of its minion, which a repeated start has reached, and
    // elsewhere.
    void repeatedStartInALaterIncarnationIsStopped()
    {
        SimulatedCell cell(1);
        auto &minion = startInLaterIncarnation(cell);
        ++minion.report.sequence;
        cell.report(minion);
        cell.run(3s);
        assertNoViolations(cell);
        CPPUNIT_ASSERT(!cell.firstMinionRunning(job).empty());
    }

    // Guards against a new leader that finds a task assigned to an earlier incarnation, and doesn't ask the later one.
    void newLeaderStopsRunsInALaterIncarnation()
    {
        SimulatedCell cell(1);
        const auto &minion = startInLaterIncarnation(cell);
        cell.loseLeader(SimulatedCell::Proposals::Lost);
        cell.storeReport(minion);
        cell.electLeader(SimulatedCell::StoreOrigin::Log);
        cell.run(3s);
        assertNoViolations(cell);
        CPPUNIT_ASSERT(!cell.firstMinionRunning(job).empty());
    }

    // Guards against taking the end of a lease for the end of a run that the next incarnation may have got: its own
    // lease ends later.
    void startOnANewConnectionMayWorkInALaterIncarnation()
    {
        SimulatedCell cell(1);
        startInLaterIncarnation(cell).isCut = true;
        cell.run(15s);
        assertNoViolations(cell);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), cell.firstMinionRunning(job));
    }

    // Guards against waiting without end for the runs of a minion that has started anew after its clock was set back.
    void incarnationWithAnEarlierBirthIsNotAwaitedForever()
    {
        SimulatedCell cell(1);
        auto &minion = cell.addMinion("a", 4000, longRun);
        const auto firstBirth = minion.report.incarnation.bornUnixMs;
        minion.restart(cell.now().time);
        cell.report(minion);
        cell.run(1s);
        cell.submit(job, 1, 1000, longRunning);
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, minion.runs.size());
        cell.addMinion("b", 4000, longRun);
        minion.isCut = true;
        cell.run(2s);
        minion.isCut = false;
        minion.restart(cell.now().time);
        minion.report.incarnation.bornUnixMs = firstBirth;
        cell.run(15s);
        assertNoViolations(cell);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), cell.firstMinionRunning(job));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunEndsTest);
