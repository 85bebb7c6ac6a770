#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;

/// Shows a fault that is not fixed, and is a program of its own since KNOWN-RED.txt names programs.
class UnknownIncarnationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnknownIncarnationTest);
    CPPUNIT_TEST(lateStartInAnUnknownIncarnationIsWaitedFor);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second run while an incarnation that never reports may carry out an unanswered start.
    void lateStartInAnUnknownIncarnationIsWaitedFor()
    {
        const std::string job = "0000000000000001";
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            SimulatedCell cell(seed);
            auto &minion = cell.addMinion("a", 4000, 1h);
            cell.run(1s);
            cell.lateOrders = 100;
            cell.submit(job, 1, 1000, [](Wire::JobStep &step) { step.set_long_running(true); });
            cell.run(200ms);
            minion.isCut = true;
            minion.restart(cell.now().time);
            cell.lateOrders = 0;
            cell.addMinion("b", 4000, 1h);
            cell.run(25s);
            CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(), cell.violations.empty());
            CPPUNIT_ASSERT_EQUAL(std::string("b"), cell.firstMinionRunning(job));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnknownIncarnationTest);
