#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

const std::string job = "0000000000000001";
const std::string otherJob = "0000000000000002";

std::function<void(Wire::JobStep &)> estimate(Duration duration)
{
    return [duration](Wire::JobStep &step) { step.set_estimate_ms(duration / 1ms); };
}

int timesFinished(const SimulatedCell &cell, const TaskName &task)
{
    int times = 0;
    for (const auto &[id, minion] : cell.minions) {
        const auto found = minion->finished.find(task);
        times += found == minion->finished.end() ? 0 : found->second;
    }
    return times;
}

} // namespace

/// What becomes of work on a minion of which the leader hears late.
class SilentMinionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilentMinionsTest);
    CPPUNIT_TEST(reachableMinionIsNotLost);
    CPPUNIT_TEST(tasksOfAReportingMinionAreNotRunAgain);
    CPPUNIT_TEST(reportingMinionThatCannotBeAskedIsGivenUp);
    CPPUNIT_TEST(leaseIsRenewedWhileEndsAreCommitted);
    CPPUNIT_TEST(failedRenewalIsRepeatedWhileEndsAreCommitted);
    CPPUNIT_TEST(failedProposalLeavesOtherEndsAlone);
    CPPUNIT_TEST_SUITE_END();

    /// Starts four tasks on minion "a", whose reports alone arrive from then on. Minion "b" has room as well.
    static SimulatedMinion &startTasksOnMinionThatOnlyReports(SimulatedCell &cell)
    {
        auto &silent = cell.addMinion("a", 4000, 1500ms);
        cell.run(1s);
        cell.submit(job, 4, 1000, estimate(1500ms));
        cell.run(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, silent.runs.size());
        cell.addMinion("b", 4000, 1500ms);
        silent.isCut = true;
        return silent;
    }

    static void runWithReports(SimulatedCell &cell, SimulatedMinion &minion, Duration span)
    {
        constexpr Duration between = 500ms;
        for (auto left = span; left > Duration::zero(); left -= between) {
            cell.run(std::min(left, between));
            ++minion.report.sequence;
            cell.report(minion);
        }
    }

public:
    // A minion whose answers were missed for a lease had its ended tasks run again elsewhere, though it could be asked.
    void reachableMinionIsNotLost()
    {
        // An order that went out before the minion answered again is given up by then.
        constexpr Duration longestOrder = 720ms;
        for (Duration silence = 1500ms; silence <= 5s; silence += 25ms) {
            SimulatedCell cell(static_cast<std::uint64_t>(silence.count()));
            auto &silent = cell.addMinion("a", 4000, 1500ms);
            cell.run(1s);
            cell.submit(job, 4, 1000, estimate(1500ms));
            cell.run(1s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, silent.runs.size());
            cell.addMinion("b", 4000, 1500ms);
            silent.isCut = true;
            cell.run(silence);
            silent.isCut = false;
            cell.run(longestOrder);
            const auto lost = cell.eventCounts["run-lost"];
            cell.run(6s);
            CPPUNIT_ASSERT_EQUAL(lost, cell.eventCounts["run-lost"]);
            CPPUNIT_ASSERT(cell.phase(job) == JobPhase::Completed);
            for (std::uint32_t index = 0; index < 4 && lost == 0; ++index)
                CPPUNIT_ASSERT_EQUAL(1, timesFinished(cell, {{job, 0, 0}, index}));
        }
    }

    // The tasks of a minion that answered no question for a lease ran again elsewhere, though it went on to report.
    void tasksOfAReportingMinionAreNotRunAgain()
    {
        for (Duration silence = 4s; silence <= 5200ms; silence += 25ms) {
            SimulatedCell cell(static_cast<std::uint64_t>(silence.count()));
            auto &silent = startTasksOnMinionThatOnlyReports(cell);
            runWithReports(cell, silent, silence);
            silent.isCut = false;
            cell.run(6s);
            CPPUNIT_ASSERT_EQUAL(0, cell.eventCounts["run-lost"]);
            CPPUNIT_ASSERT(cell.phase(job) == JobPhase::Completed);
            for (std::uint32_t index = 0; index < 4; ++index)
                CPPUNIT_ASSERT_EQUAL(1, timesFinished(cell, {{job, 0, 0}, index}));
        }
    }

    // Guards against waiting for a minion for good of which only the reports arrive.
    void reportingMinionThatCannotBeAskedIsGivenUp()
    {
        constexpr Duration leaseQuestionsAndStart = 7500ms;
        SimulatedCell cell(1);
        auto &silent = startTasksOnMinionThatOnlyReports(cell);
        runWithReports(cell, silent, leaseQuestionsAndStart);
        CPPUNIT_ASSERT_EQUAL(4, cell.eventCounts["run-lost"]);
        cell.run(2s);
        CPPUNIT_ASSERT(cell.phase(job) == JobPhase::Completed);
    }

    // The lease lapsed while the leader waited for a slow disk, and all that ran there was killed.
    void leaseIsRenewedWhileEndsAreCommitted()
    {
        SimulatedCell cell(1);
        auto &minion = cell.addMinion("a", 4000, 2s);
        cell.run(1s);
        minion.longRunningRun = [](const TaskName &task, std::uint64_t) {
            return task.step.job == otherJob ? std::optional(SimulatedMinion::LongRunningRun{60s, RunEnd::Failed})
                                             : std::nullopt;
        };
        cell.submit(otherJob, 2, 1000, [](Wire::JobStep &step) { step.set_long_running(true); });
        cell.submit(job, 1, 1000, estimate(2s));
        cell.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, minion.runs.size());
        cell.commitDelay = 9s;
        cell.run(8s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, minion.runs.size());
        cell.run(6s);
        CPPUNIT_ASSERT(cell.phase(job) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(0, cell.eventCounts["run-lost"]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, minion.runs.size());
    }

    // A lost answer cost the lease, as the next renewal waited for ends that were being committed.
    void failedRenewalIsRepeatedWhileEndsAreCommitted()
    {
        SimulatedCell cell(1);
        auto &minion = cell.addMinion("a", 4000, 1500ms);
        cell.run(1s);
        minion.longRunningRun = [](const TaskName &task, std::uint64_t) {
            return task.step.job == otherJob ? std::optional(SimulatedMinion::LongRunningRun{60s, RunEnd::Failed})
                                             : std::nullopt;
        };
        cell.submit(otherJob, 1, 1000, [](Wire::JobStep &step) { step.set_long_running(true); });
        cell.submit(job, 1, 1000, estimate(1500ms));
        cell.run(1s);
        cell.commitDelay = 9s;
        cell.run(700ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, minion.runs.size());
        cell.run(1s);
        minion.isCut = true;
        cell.run(1500ms);
        minion.isCut = false;
        cell.run(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, minion.runs.size());
        CPPUNIT_ASSERT_EQUAL(0, cell.eventCounts["run-lost"]);
    }

    // The failure of one proposal let the leader acknowledge ends of other minions before they were stored.
    void failedProposalLeavesOtherEndsAlone()
    {
        for (std::uint64_t seed = 0; seed < 30; ++seed) {
            SimulatedCell cell(seed);
            for (int i = 0; i < 8; ++i)
                cell.addMinion("m" + std::to_string(i), 4000, 300ms + std::chrono::milliseconds(37 * i));
            cell.run(1s);
            cell.submit(job, 120, 1000, estimate(300ms));
            cell.commitDelay = 150ms;
            cell.failedProposals = 40;
            cell.run(5s);
            cell.failedProposals = 0;
            cell.run(10s);
            CPPUNIT_ASSERT(cell.phase(job) == JobPhase::Completed);
            for (std::uint32_t index = 0; index < 120; ++index)
                CPPUNIT_ASSERT_EQUAL(1, timesFinished(cell, {{job, 0, 0}, index}));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentMinionsTest);
