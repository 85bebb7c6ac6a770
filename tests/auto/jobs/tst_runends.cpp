#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

const std::string job = "0000000000000001";

std::string jobNumber(int number)
{
    return "00000000000001" + std::to_string(10 + number);
}

std::function<void(Wire::JobStep &)> estimate(Duration duration)
{
    return [duration](Wire::JobStep &step) { step.set_estimate_ms(duration / 1ms); };
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
    CPPUNIT_TEST_SUITE_END();

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunEndsTest);
