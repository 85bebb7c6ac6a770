#include "jobs/minion.h"
#include "jobs/timespent.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

constexpr TimePoint start{1h};

/// A run that was ready at the start, planned after 100 ms, ordered after 120 ms, confirmed after 150 ms and whose end
/// was read after 950 ms.
Run endedRun()
{
    Run run;
    run.readyAt = start;
    run.plannedAt = start + 100ms;
    run.orderedAt = start + 120ms;
    run.startedAt = start + 150ms;
    run.expected = 700ms;
    run.phase = RunPhase::Ending;
    run.phaseSince = start + 950ms;
    return run;
}

Duration sumOf(const TimeSpent &spent)
{
    return spent.advice + spent.queue + spent.assignment + spent.start + spent.run + spent.end;
}

} // namespace

class TimeSpentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TimeSpentTest);
    CPPUNIT_TEST(partsAddUpToTheTimeOfTheRun);
    CPPUNIT_TEST(timeWithoutAdviceIsToldApart);
    CPPUNIT_TEST(unconfirmedStartEndsWithTheRun);
    CPPUNIT_TEST(adoptedRunHasNoTimesOfItsAssignment);
    CPPUNIT_TEST_SUITE_END();

public:
    // A part that is left out would hide where a job's time goes.
    void partsAddUpToTheTimeOfTheRun()
    {
        const auto spent = timeSpent(endedRun(), {}, start + 1s);
        CPPUNIT_ASSERT(spent.advice == Duration::zero());
        CPPUNIT_ASSERT(spent.queue == 100ms);
        CPPUNIT_ASSERT(spent.assignment == 20ms);
        CPPUNIT_ASSERT(spent.start == 30ms);
        CPPUNIT_ASSERT(spent.run == 800ms);
        CPPUNIT_ASSERT(spent.expectedRun == 700ms);
        CPPUNIT_ASSERT(spent.end == 50ms);
        CPPUNIT_ASSERT(sumOf(spent) == 1s);
    }

    // Waiting for advice and waiting for room have different causes.
    void timeWithoutAdviceIsToldApart()
    {
        const auto asked = timeSpent(endedRun(), start + 70ms, start + 1s);
        CPPUNIT_ASSERT(asked.advice == 70ms && asked.queue == 30ms);
        const auto askedAhead = timeSpent(endedRun(), start - 1s, start + 1s);
        CPPUNIT_ASSERT(askedAhead.advice == Duration::zero() && askedAhead.queue == 100ms);
    }

    // The end of a short run can be read before the confirmation of its start.
    void unconfirmedStartEndsWithTheRun()
    {
        auto run = endedRun();
        run.startedAt = {};
        const auto spent = timeSpent(run, {}, start + 1s);
        CPPUNIT_ASSERT(spent.start == 830ms && spent.run == Duration::zero());
        CPPUNIT_ASSERT(sumOf(spent) == 1s);
    }

    // A new leader would report the time since the start of its clock.
    void adoptedRunHasNoTimesOfItsAssignment()
    {
        auto run = endedRun();
        run.readyAt = {};
        run.plannedAt = {};
        run.orderedAt = {};
        const auto spent = timeSpent(run, {}, start + 1s);
        CPPUNIT_ASSERT(sumOf(spent) == 850ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimeSpentTest);
