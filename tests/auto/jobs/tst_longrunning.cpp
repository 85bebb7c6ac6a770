#include "longrunningscenario.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;
using namespace std::string_literals;

/// Each kind of end of a run of a long-running task, with each event near it.
class LongRunningTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LongRunningTest);
    CPPUNIT_TEST(taskRunsAgainHoweverItsRunEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an accepted long-running task that stays away, runs twice, ends its job or leaks its capacity.
    void taskRunsAgainHoweverItsRunEnded()
    {
        constexpr std::uint64_t seeds = 4;
        std::string failures;
        for (std::size_t end = 0; end < runEndings.size(); ++end) {
            for (std::size_t event = 0; event < nearbyEvents.size(); ++event) {
                for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                    const auto failure
                        = LongRunningScenario(static_cast<RunEnding>(end), static_cast<NearbyEvent>(event), seed).run();
                    if (!failure.empty())
                        failures += "\n"s + runEndings.at(end) + ", " + nearbyEvents.at(event) + ", seed "
                            + std::to_string(seed) + ": " + failure;
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongRunningTest);
