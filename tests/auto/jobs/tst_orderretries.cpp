#include "simulatedcell.h"

#include "jobs/retrybackoff.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

const std::string job = "0000000000000001";

/// Submits tasks that are expected to run for a minute.
void submitLongTasks(SimulatedCell &cell, std::size_t count, std::int64_t milliCores)
{
    constexpr std::int64_t estimateMs = 60'000;
    cell.submit(job, static_cast<std::uint32_t>(count), milliCores,
                [](Wire::JobStep &step) { step.set_estimate_ms(estimateMs); });
}

/// \return the job's tasks that run somewhere.
std::size_t running(const SimulatedCell &cell)
{
    return cell.minionsRunning(job).size();
}

/// Runs the cell until \p condition holds.
/// \return how long that took, or \p limit.
template<class Condition> Duration timeUntil(SimulatedCell &cell, Duration limit, const Condition &condition)
{
    const auto start = cell.now().time;
    while (!condition() && cell.now().time - start < limit)
        cell.run(20ms);
    return cell.now().time - start;
}

} // namespace

class OrderRetriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderRetriesTest);
    CPPUNIT_TEST(delaysGrowAndDiffer);
    CPPUNIT_TEST(shortageOfConnectionsIsNoStorm);
    CPPUNIT_TEST(unsentStartIsNotHeldAgainstTheMinion);
    CPPUNIT_TEST(startThatIsNeverSentNeedsNoStop);
    CPPUNIT_TEST(silentMinionsGetFewOrders);
    CPPUNIT_TEST(shortSilenceKeepsRunningTasks);
    CPPUNIT_TEST(minionWithoutRunsKeepsItsConnectionFree);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against retries of many orders that stay in step.
    void delaysGrowAndDiffer()
    {
        RetryBackoff backoff(1);
        for (std::uint32_t failures = 1; failures < 20; ++failures) {
            auto shortest = Duration::max();
            auto longest = Duration::zero();
            for (int i = 0; i < 200; ++i) {
                const auto delay = backoff.delay(failures);
                shortest = std::min(shortest, delay);
                longest = std::max(longest, delay);
            }
            const auto nominal = std::min(RetryBackoff::shortestDelay * (1 << std::min(failures - 1, 10U)),
                                          RetryBackoff::longestDelay);
            CPPUNIT_ASSERT(shortest >= nominal * 3 / 4 && longest <= nominal * 5 / 4);
            CPPUNIT_ASSERT(longest > shortest * 5 / 4);
        }
    }

    // Orders that failed at once for lack of a descriptor were repeated in each round, hundreds of times a second.
    void shortageOfConnectionsIsNoStorm()
    {
        SimulatedCell cell(1);
        for (int i = 0; i < 40; ++i)
            cell.addMinion("m" + std::to_string(i), 4000, 60s);
        submitLongTasks(cell, 160, 1000);
        cell.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{160}, running(cell));
        cell.hasConnections = false;
        cell.cancel(job);
        const auto before = cell.stops;
        cell.run(3s);
        // At the longest delay, less its jitter, a run has two attempts a second, and five before that.
        CPPUNIT_ASSERT(cell.stops - before <= std::size_t{160} * (5 + 3 * 2 + 1));
        CPPUNIT_ASSERT_EQUAL(0, cell.eventCounts["stop-not-confirmed"]);
        cell.hasConnections = true;
        CPPUNIT_ASSERT(timeUntil(cell, 5s, [&] { return running(cell) == 0; }) <= 1200ms);
    }

    // An order that never left is no sign that the minion is unresponsive, and no attempt.
    void unsentStartIsNotHeldAgainstTheMinion()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 60s);
        cell.run(1s);
        submitLongTasks(cell, 4, 1000);
        cell.run(20ms);
        cell.hasConnections = false;
        cell.run(1s);
        CPPUNIT_ASSERT(cell.starts >= 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, running(cell));
        cell.hasConnections = true;
        CPPUNIT_ASSERT(timeUntil(cell, 5s, [&] { return running(cell) == 4; }) <= 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.stops);
        CPPUNIT_ASSERT_EQUAL(0, cell.eventCounts["start-not-confirmed"]);
    }

    void startThatIsNeverSentNeedsNoStop()
    {
        SimulatedCell cell(1);
        cell.addMinion("a", 4000, 60s);
        cell.run(1s);
        submitLongTasks(cell, 1, 1000);
        cell.run(20ms);
        cell.hasConnections = false;
        cell.run(3500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.stops);
        cell.hasConnections = true;
        CPPUNIT_ASSERT(timeUntil(cell, 5s, [&] { return running(cell) == 1; }) <= 2s);
        CPPUNIT_ASSERT(cell.violations.empty());
    }

    // A tenth, a half and all of the minions answer nothing for 5 s while all their tasks are to be stopped.
    void silentMinionsGetFewOrders()
    {
        constexpr std::size_t count = 220;
        for (const std::size_t silent : {count / 10, count / 2, count}) {
            SimulatedCell cell(silent);
            for (std::size_t i = 0; i < count; ++i)
                cell.addMinion("m" + std::to_string(i), 4000, 60s);
            submitLongTasks(cell, 2 * count, 2000);
            cell.run(4s);
            CPPUNIT_ASSERT_EQUAL(2 * count, running(cell));
            std::size_t left = silent;
            for (auto &[id, minion] : cell.minions)
                minion->isCut = left-- > 0 && left < silent;
            cell.cancel(job);
            const auto before = cell.stops;
            cell.run(5s);
            const auto sent = cell.stops - before;
            CPPUNIT_ASSERT(sent <= 2 * count + 2 * silent * 8);
            for (auto &[id, minion] : cell.minions)
                minion->isCut = false;
            CPPUNIT_ASSERT(timeUntil(cell, 10s, [&] { return running(cell) == 0; }) <= 2500ms);
            CPPUNIT_ASSERT(cell.violations.empty());
        }
    }

    // A renewal that waited for an end before it was found unanswered left time for two more within a lease.
    void shortSilenceKeepsRunningTasks()
    {
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            SimulatedCell cell(seed);
            for (int i = 0; i < 300; ++i)
                cell.addMinion("m" + std::to_string(i), 4000, 60s);
            submitLongTasks(cell, 300, 3000);
            cell.run(5s + std::chrono::milliseconds(70 * seed));
            CPPUNIT_ASSERT_EQUAL(std::size_t{300}, running(cell));
            for (auto &[id, minion] : cell.minions)
                minion->isCut = true;
            cell.run(1s);
            for (auto &[id, minion] : cell.minions)
                minion->isCut = false;
            cell.run(6s);
            CPPUNIT_ASSERT_EQUAL(0, cell.eventCounts["run-lost"]);
            CPPUNIT_ASSERT_EQUAL(std::size_t{300}, running(cell));
        }
    }

    void minionWithoutRunsKeepsItsConnectionFree()
    {
        SimulatedCell cell(1);
        for (int i = 0; i < 10; ++i)
            cell.addMinion("m" + std::to_string(i), 4000, 2s);
        cell.run(3s);
        const auto before = cell.renewals;
        cell.run(15s);
        // One each 1.5 s, none of which waits.
        CPPUNIT_ASSERT(cell.renewals - before <= std::size_t{10} * 11);
        cell.submit(job, 10, 4000);
        CPPUNIT_ASSERT(timeUntil(cell, 5s, [&] { return cell.phase(job) == JobPhase::Completed; }) <= 2500ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderRetriesTest);
