#include "jobs/advicelimit.h"

#include <jobs.pb.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Pistachio;
using namespace Pistachio::Jobs;

class AdviceLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdviceLimitTest);
    CPPUNIT_TEST(slowServiceIsAwaited);
    CPPUNIT_TEST(absurdTimesAreLimited);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against queues whose advice is given up each time before it comes.
    void slowServiceIsAwaited()
    {
        Wire::JobQueue queue;
        queue.set_advice_base_ms(560);
        queue.set_advice_per_minion_ms(8);
        CPPUNIT_ASSERT(adviceLimit(queue, 32) == 2s);
        queue.set_advice_base_ms(1500.5);
        CPPUNIT_ASSERT(adviceLimit(queue, 32) >= 2 * 1756500us);
    }

    // Guards against a time in a configuration that is beyond what a duration can hold.
    void absurdTimesAreLimited()
    {
        Wire::JobQueue queue;
        queue.set_advice_base_ms(1e300);
        CPPUNIT_ASSERT(adviceLimit(queue, 1) == 1min);
        queue.set_advice_base_ms(-1e300);
        CPPUNIT_ASSERT(adviceLimit(queue, 1) == 2s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviceLimitTest);
