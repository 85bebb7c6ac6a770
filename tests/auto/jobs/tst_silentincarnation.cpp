#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <utility>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

constexpr Duration longRun = 1h;

void longRunning(Wire::JobStep &step)
{
    step.set_long_running(true);
}

} // namespace

/// Orders that are meant for one incarnation of a minion and reach a later one, which the leader doesn't know yet.
class SilentIncarnationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilentIncarnationTest);
    CPPUNIT_TEST(newLeaderWaitsForASilentLaterIncarnation);
    CPPUNIT_TEST(newLeaderWaitsAUsualLeaseForAConfirmedRun);
    CPPUNIT_TEST(confirmationIsRecordedThoughItsProposalFails);
    CPPUNIT_TEST(leaseFromBeforeTheReportIsWaitedFor);
    CPPUNIT_TEST(newLeaderWaitsForALeaseFromBeforeTheReport);
    CPPUNIT_TEST(newLeaderThatIsAnsweredWaitsForSuchALease);
    CPPUNIT_TEST(endInALaterIncarnationIsNotForgotten);
    CPPUNIT_TEST(answeredStartMayWorkInALaterIncarnation);
    CPPUNIT_TEST(lateRenewalForTheEarlierIncarnationHasNoEffect);
    CPPUNIT_TEST(renewalThatArrivesBeforeTheFirstAnswerIsWaitedFor);
    CPPUNIT_TEST(lateStartInASilentIncarnationIsWaitedFor);
    CPPUNIT_TEST(forgottenMinionObeysItsLeaderAgain);
    CPPUNIT_TEST_SUITE_END();

    const std::string job_ = "0000000000000001";

    /// Has the job's task work on minion "a", of which the power fails with the leader, while "b" has room.
    /// \return how long the next leader takes to have the task work on "b".
    Duration timeToRunAgain(SimulatedCell &cell, SimulatedCell::StoreOrigin origin)
    {
        cell.addMinion("b", 4000, longRun);
        cell.run(100ms);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), cell.firstMinionRunning(job_));
        cell.loseLeader(SimulatedCell::Proposals::Lost);
        cell.destroy(*cell.minions.at("a"));
        cell.electLeader(origin);
        const auto elected = cell.now().time;
        for (int steps = 0; steps < 1500 && cell.firstMinionRunning(job_).empty(); ++steps)
            cell.run(10ms);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), cell.firstMinionRunning(job_));
        CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(), cell.violations.empty());
        return cell.now().time - elected;
    }

    /// Adds minion "a", which is up for longer than the longest lease and then starts again. Its next renewal comes
    /// about halfway between two reports, 0.6 s after the restart.
    static SimulatedMinion &addRestartedMinion(SimulatedCell &cell)
    {
        cell.run(700ms);
        auto &minion = cell.addMinion("a", 4000, longRun, minClockRate);
        cell.run(9900ms);
        minion.restart(cell.now().time);
        return minion;
    }

    /// Has renewals stay unanswered that are sent to the first incarnation of "a" in the second before it restarts.
    /// \param delay after which they are carried out
    /// \param answersFrom how long after the restart the next incarnation answers
    static void delayLastRenewals(SimulatedCell &cell, Duration delay, Duration answersFrom)
    {
        const auto restart = cell.now().time + 10'600ms;
        cell.renewalDelay = [&cell, restart, delay, answersFrom](const LeaseOrder &order) -> std::optional<Duration> {
            const auto now = cell.now().time;
            if (order.minion.id != "a" || now < restart - 1s || now >= restart + answersFrom)
                return std::nullopt;
            return now < restart ? delay : Duration(1h);
        };
    }

    /// Submits the job and waits until it runs on the only minion.
    void submitAndStart(SimulatedCell &cell, const SimulatedMinion &minion)
    {
        cell.submit(job_, 1, 1000, longRunning);
        for (int steps = 0; steps < 100 && minion.runs.empty(); ++steps)
            cell.run(10ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, minion.runs.size());
    }

    /// Has a renewal that is meant for the earlier incarnation of "a" reach the later one, which then reports.
    static void renewBeforeTheReport(SimulatedCell &cell, SimulatedMinion &minion)
    {
        for (const auto before = cell.renewals; cell.renewals == before;)
            cell.run(10ms);
        cell.run(20ms);
        ++minion.report.sequence;
        cell.report(minion);
        cell.run(100ms);
    }

    void assertRunsOnceElsewhere(SimulatedCell &cell)
    {
        cell.addMinion("b", 4000, longRun);
        cell.run(15s);
        CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(), cell.violations.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), cell.firstMinionRunning(job_));
    }

    /// Has minion "a" crash as a start arrives, and its next incarnation carry out the repeated one and fall silent.
    void startInSilentIncarnation(SimulatedCell &cell)
    {
        auto &minion = cell.addMinion("a", 4000, longRun);
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
        cell.submit(job_, 1, 1000, longRunning);
        cell.run(200ms);
        cell.addMinion("b", 4000, longRun);
        for (int steps = 0; steps < 200 && minion.runs.empty(); ++steps)
            cell.run(10ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, minion.runs.size());
        cell.startFault = {};
    }

public:
    // Guards against a second run while the first has a longer lease than the new leader knows of.
    void newLeaderWaitsForASilentLaterIncarnation()
    {
        SimulatedCell cell(1);
        startInSilentIncarnation(cell);
        cell.loseLeader(SimulatedCell::Proposals::Lost);
        cell.electLeader(SimulatedCell::StoreOrigin::Log);
        cell.run(15s);
        CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(), cell.violations.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), cell.firstMinionRunning(job_));
    }

    // Guards against waiting for the longest lease at each new leader: a long-running task is owed again after 6 s.
    void newLeaderWaitsAUsualLeaseForAConfirmedRun()
    {
        for (const auto origin : {SimulatedCell::StoreOrigin::Log, SimulatedCell::StoreOrigin::Snapshot}) {
            SimulatedCell cell(1);
            cell.addMinion("a", 4000, longRun);
            cell.submit(job_, 1, 1000, longRunning);
            cell.run(2s);
            CPPUNIT_ASSERT(timeToRunAgain(cell, origin) < SchedulerSettings().longestLease);
        }
    }

    // Guards against a confirmation that is never recorded because its first proposal was not appended to the log.
    void confirmationIsRecordedThoughItsProposalFails()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, longRun);
        cell.submit(job_, 1, 1000, longRunning);
        cell.run(300ms);
        cell.failedProposals = 100;
        cell.run(1s);
        cell.failedProposals = 0;
        cell.run(1s);
        CPPUNIT_ASSERT(timeToRunAgain(cell, SimulatedCell::StoreOrigin::Log) < SchedulerSettings().longestLease);
    }

    // Guards against a second run while the first has a lease that its incarnation got before it was known.
    void leaseFromBeforeTheReportIsWaitedFor()
    {
        SimulatedCell cell(1);
        auto &minion = addRestartedMinion(cell);
        renewBeforeTheReport(cell, minion);
        submitAndStart(cell, minion);
        minion.isCut = true;
        assertRunsOnceElsewhere(cell);
    }

    // Guards against a confirmation of a run that has such a lease: the next leader would wait a usual one.
    void newLeaderWaitsForALeaseFromBeforeTheReport()
    {
        SimulatedCell cell(1);
        auto &minion = addRestartedMinion(cell);
        renewBeforeTheReport(cell, minion);
        submitAndStart(cell, minion);
        cell.run(700ms);
        minion.isCut = true;
        cell.loseLeader(SimulatedCell::Proposals::Committed);
        cell.run(100ms);
        cell.electLeader(SimulatedCell::StoreOrigin::Log);
        assertRunsOnceElsewhere(cell);
    }

    // Guards against taking an answer to the new leader for a proof that no lease is longer than its own.
    void newLeaderThatIsAnsweredWaitsForSuchALease()
    {
        SimulatedCell cell(1);
        auto &minion = addRestartedMinion(cell);
        renewBeforeTheReport(cell, minion);
        submitAndStart(cell, minion);
        cell.loseLeader(SimulatedCell::Proposals::Committed);
        cell.run(100ms);
        cell.electLeader(SimulatedCell::StoreOrigin::Snapshot);
        cell.run(200ms);
        minion.isCut = true;
        assertRunsOnceElsewhere(cell);
    }

    // Guards against acknowledging to a later incarnation what the known one has listed: it would forget an end that it
    // hasn't listed, and the task would run again.
    void endInALaterIncarnationIsNotForgotten()
    {
        constexpr Duration shortRun = 100ms;
        SimulatedCell cell(1);
        auto &minion = cell.addMinion("a", 4000, shortRun);
        cell.submit("00000000000000aa", 4, 1000);
        cell.run(1600ms);
        minion.restart(cell.now().time);
        cell.submit(job_, 1, 1000);
        cell.run(700ms);
        const TaskName task{{job_, 0, 0}, 0};
        CPPUNIT_ASSERT_EQUAL(1, minion.finished[task]);
        ++minion.report.sequence;
        cell.report(minion);
        cell.run(2s);
        CPPUNIT_ASSERT_EQUAL(1, minion.finished[task]);
        CPPUNIT_ASSERT(cell.phase(job_) == JobPhase::Completed);
    }

    // Guards against taking the answer to a start for one of the known incarnation, as it doesn't say whose it is.
    void answeredStartMayWorkInALaterIncarnation()
    {
        SimulatedCell cell(1);
        auto &minion = addRestartedMinion(cell);
        submitAndStart(cell, minion);
        minion.isCut = true;
        assertRunsOnceElsewhere(cell);
    }

    // Guards against a second run while a late renewal for the earlier incarnation prolongs the lease of the first.
    void lateRenewalForTheEarlierIncarnationHasNoEffect()
    {
        SimulatedCell cell(1);
        delayLastRenewals(cell, 3500ms, Duration::zero());
        auto &minion = addRestartedMinion(cell);
        cell.report(minion);
        submitAndStart(cell, minion);
        minion.isCut = true;
        assertRunsOnceElsewhere(cell);
    }

    // Guards against counting the longest lease from the report of a later incarnation, which answers long after it.
    void renewalThatArrivesBeforeTheFirstAnswerIsWaitedFor()
    {
        SimulatedCell cell(1);
        delayLastRenewals(cell, 2500ms, 2500ms);
        auto &minion = addRestartedMinion(cell);
        cell.report(minion);
        cell.run(2500ms);
        submitAndStart(cell, minion);
        minion.isCut = true;
        assertRunsOnceElsewhere(cell);
    }

    // Guards against a second run while a start for the earlier incarnation may yet be carried out by a silent one.
    void lateStartInASilentIncarnationIsWaitedFor()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            SimulatedCell cell(seed);
            auto &minion = cell.addMinion("a", 4000, longRun);
            cell.run(1s);
            cell.lateOrders = 100;
            cell.submit(job_, 1, 1000, longRunning);
            cell.run(200ms);
            minion.restart(cell.now().time);
            minion.isCut = true;
            cell.report(minion);
            cell.run(500ms);
            cell.lateOrders = 0;
            cell.addMinion("b", 4000, longRun);
            cell.run(25s);
            CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(), cell.violations.empty());
            CPPUNIT_ASSERT_EQUAL(std::string("b"), cell.firstMinionRunning(job_));
        }
    }

    // Guards against orders that an incarnation refuses because it has seen higher ones before it was forgotten.
    void forgottenMinionObeysItsLeaderAgain()
    {
        SimulatedCell cell(1);
        auto &minion = cell.addMinion("a", 4000, longRun);
        cell.addMinion("b", 100, longRun);
        cell.run(1s);
        cell.removeFromStore("a");
        ++minion.report.sequence;
        cell.report(minion);
        cell.run(200ms);
        submitAndStart(cell, minion);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), cell.firstMinionRunning(job_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentIncarnationTest);
