#include "longrunningscenario.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Jobs;
using namespace std::string_literals;

/// Each kind of end of a run of a long-running task, with each event near it.
class LongRunningTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LongRunningTest);
    CPPUNIT_TEST(taskRunsAgainHoweverItsRunEnded);
    CPPUNIT_TEST(restoredStorePlansLikeTheReplayedOne);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<std::string> startsAfterRestart(std::uint64_t seed, SimulatedCell::StoreOrigin origin)
    {
        SimulatedCell cell(seed);
        RandomSource random(seed);
        for (const auto *id : {"a", "b", "c", "d"})
            cell.addMinion(id, 4000, std::chrono::milliseconds(500 + random.below(1000)));
        for (int number = 10; number < 30; ++number) {
            const auto kind = random.below(4);
            cell.submit("00000000000000" + std::to_string(number), 1 + static_cast<std::uint32_t>(random.below(3)),
                        500 + 500 * static_cast<std::int64_t>(random.below(3)), [kind](Wire::JobStep &step) {
                            step.set_long_running(kind < 2);
                            step.set_gang(kind == 1 || kind == 2);
                        });
            cell.run(std::chrono::milliseconds(random.below(300)));
        }
        cell.minions.at("b")->restart(cell.now().time);
        cell.run(std::chrono::milliseconds(random.below(300)));
        cell.loseLeader(SimulatedCell::Proposals::Committed);
        cell.run(std::chrono::milliseconds(100 + random.below(6000)));
        cell.electLeader(origin);
        cell.startLog.clear();
        cell.run(6s);
        CPPUNIT_ASSERT(cell.violations.empty());
        return cell.startLog;
    }

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

    // Guards against state that a snapshot lacks or orders differently, so that a restored leader plans something else.
    void restoredStorePlansLikeTheReplayedOne()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            const auto replayed = startsAfterRestart(seed, SimulatedCell::StoreOrigin::Log);
            CPPUNIT_ASSERT(!replayed.empty());
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   replayed == startsAfterRestart(seed, SimulatedCell::StoreOrigin::Snapshot));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongRunningTest);
