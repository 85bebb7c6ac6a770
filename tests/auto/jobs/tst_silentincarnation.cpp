#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <utility>

using namespace Pistachio;
using namespace Pistachio::Jobs;

/// A later incarnation of a minion that runs a repeated start and is silent afterwards.
class SilentIncarnationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilentIncarnationTest);
    CPPUNIT_TEST(newLeaderWaitsForASilentLaterIncarnation);
    CPPUNIT_TEST_SUITE_END();

    const std::string job_ = "0000000000000001";

    /// Has minion "a" crash as a start arrives, and its next incarnation carry out the repeated one and fall silent.
    void startInSilentIncarnation(SimulatedCell &cell)
    {
        constexpr Duration longRun = 1h;
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
        cell.submit(job_, 1, 1000, [](Wire::JobStep &step) { step.set_long_running(true); });
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentIncarnationTest);
