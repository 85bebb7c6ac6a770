#include "simulatedcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;

/// Random faults in virtual time: unreachable and restarted minions, lost answers, delayed orders, leader changes and
/// cancelled jobs.
class FaultTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FaultTest);
    CPPUNIT_TEST(randomFaultsNeitherDuplicateNorLoseTasks);
    CPPUNIT_TEST_SUITE_END();

    static std::string jobId(std::uint64_t number)
    {
        auto text = std::to_string(number);
        return std::string(16 - text.size(), '0') + text;
    }

    static void runScenario(std::uint64_t seed)
    {
        SimulatedCell cell(seed);
        RandomSource random(seed);
        for (const auto *id : {"a", "b", "c", "d"})
            cell.addMinion(id, 4000, std::chrono::milliseconds(300 + random.below(2000)),
                           0.98 + 0.02 * random.fraction());
        std::uint64_t jobs = 0;
        RandomSource delays(seed);
        std::uint64_t lateRenewals = 0; // percentage
        cell.renewalDelay = [&](const LeaseOrder & /*order*/) -> std::optional<Duration> {
            if (delays.below(100) >= lateRenewals)
                return std::nullopt;
            return 2s + std::chrono::milliseconds(delays.below(10'000));
        };
        for (int round = 0; round < 40; ++round) {
            cell.lostAnswers = random.below(3) == 0 ? 20 : 0;
            cell.lateOrders = random.below(3) == 0 ? 10 : 0;
            lateRenewals = 2 * cell.lateOrders;
            const bool gang = random.below(4) == 0;
            cell.submit(jobId(++jobs), 1 + static_cast<std::uint32_t>(random.below(4)),
                        500 + 500 * static_cast<std::int64_t>(random.below(4)),
                        [gang](Wire::JobStep &step) { step.set_gang(gang); });
            auto &minion = *std::next(cell.minions.begin(), static_cast<std::ptrdiff_t>(random.below(4)))->second;
            switch (random.below(8)) {
            case 0:
                minion.isCut = true;
                break;
            case 1:
                minion.restart(cell.now().time);
                break;
            case 2:
                cell.changeLeader();
                break;
            case 3:
                cell.cancel(jobId(1 + random.below(jobs)));
                break;
            case 4:
                for (const auto &[id, other] : cell.minions)
                    other->isCut = false;
                break;
            default:
                break;
            }
            cell.run(std::chrono::milliseconds(200 + random.below(1500)));
        }
        for (const auto &[id, other] : cell.minions)
            other->isCut = false;
        cell.lostAnswers = 0;
        cell.lateOrders = lateRenewals = 0;
        cell.run(60s);
        const auto name = "seed " + std::to_string(seed) + ": ";
        CPPUNIT_ASSERT_MESSAGE(name + (cell.violations.empty() ? "" : cell.violations.front()),
                               cell.violations.empty());
        for (std::uint64_t number = 1; number <= jobs; ++number)
            CPPUNIT_ASSERT_MESSAGE(name + "job " + jobId(number) + " is still active",
                                   cell.phase(jobId(number)) != JobPhase::Active);
    }

public:
    // Guards against a task that runs twice, or a job that never ends, after any sequence of faults.
    void randomFaultsNeitherDuplicateNorLoseTasks()
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed)
            runScenario(seed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultTest);
