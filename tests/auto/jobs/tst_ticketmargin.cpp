#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;

/// Starts that need a ticket while assignments are committed slowly.
class TicketMarginTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TicketMarginTest);
    CPPUNIT_TEST(ticketsOutliveSlowCommits);
    CPPUNIT_TEST(slowCommitsDontKeepTasksFromStarting);
    CPPUNIT_TEST_SUITE_END();

    const std::string first_ = "0000000000000001";
    const std::string second_ = "0000000000000002";

    static Wire::JobSpec shortTasks(std::uint32_t count)
    {
        Wire::JobSpec spec;
        auto &step = *spec.add_steps();
        step.set_tasks(count);
        step.set_milli_cores(1000);
        step.set_estimate_ms(170);
        return spec;
    }

public:
    // Guards against starts that minions refuse because their ticket ended while the assignment was being committed.
    void ticketsOutliveSlowCommits()
    {
        for (Duration runTime = 50ms; runTime <= 300ms; runTime += 10ms) {
            SimulatedCell cell(1);
            cell.answersAdvice = true;
            cell.commitDelay = 250ms;
            cell.addMinion("a", 1000, runTime);
            cell.run(2s);
            cell.submit(first_, shortTasks(8), SimulatedCell::Queue::Advised);
            cell.run(30s);
            CPPUNIT_ASSERT(cell.phase(first_) == JobPhase::Completed);
            const auto refused = cell.eventCounts["start-not-confirmed"];
            cell.submit(second_, shortTasks(30), SimulatedCell::Queue::Advised);
            cell.run(90s);
            CPPUNIT_ASSERT(cell.phase(second_) == JobPhase::Completed);
            CPPUNIT_ASSERT_EQUAL(refused, cell.eventCounts["start-not-confirmed"]);
        }
    }

    // Guards against a margin so long that no ticket is ever good enough.
    void slowCommitsDontKeepTasksFromStarting()
    {
        SimulatedCell cell(1);
        cell.answersAdvice = true;
        cell.commitDelay = 1200ms;
        cell.addMinion("a", 4000, 170ms);
        cell.run(5s);
        cell.submit(first_, shortTasks(12), SimulatedCell::Queue::Advised);
        cell.run(60s);
        CPPUNIT_ASSERT(cell.phase(first_) == JobPhase::Completed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TicketMarginTest);
