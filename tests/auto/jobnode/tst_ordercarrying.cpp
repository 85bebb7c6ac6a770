#include "carriedcell.h"

#include "jobnode/carriertable.h"
#include "jobnode/orderwire.h"

#include <jobs.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Jobnode;

namespace
{

constexpr std::size_t carriers = 3;
constexpr std::size_t minions = 16;
constexpr std::uint64_t seeds = 12;
constexpr TimePoint begin{1h};

void checkRules(const CarriedCell &cell, std::uint64_t seed)
{
    const auto name = "seed " + std::to_string(seed);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(),
                                 cell.violations.empty() ? std::string() : cell.violations.front());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, cell.submitted, cell.completed);
}

/// Plays \p trouble with each seed, and lets the cell finish.
/// \param mostLapsed runs that a lease may end
template<class Trouble> void play(const Trouble &trouble, std::size_t mostLapsed = 0)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CarriedCell cell(seed, carriers, minions);
        cell.run(2s);
        trouble(cell, seed);
        cell.run(2s);
        cell.finish(30s);
        checkRules(cell, seed);
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), cell.lapsedRuns <= mostLapsed);
    }
}

CarrierTable tableWith(const std::vector<std::string> &instances)
{
    CarrierTable table("zone-own");
    table.setInstances(begin, instances);
    for (const auto &instance : instances) {
        table.recordClock(begin, instance, 10s);
        table.answered(begin, instance, begin, "zone-of-" + instance);
    }
    return table;
}

} // namespace

class OrderCarryingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderCarryingTest);
    CPPUNIT_TEST(minionsAreCarriedInTheirZone);
    CPPUNIT_TEST(silentInstanceLosesItsMinionsOnly);
    CPPUNIT_TEST(delayedClockReadingSaysNothingNew);
    CPPUNIT_TEST(calmLeaderCallsItsOwnZoneOnly);
    CPPUNIT_TEST(killedCarrierIsReplacedAtOnce);
    CPPUNIT_TEST(pausedCarrierSendsNothingLate);
    CPPUNIT_TEST(carrierThatIsCutOffOneWayIsNotWaitedFor);
    CPPUNIT_TEST(carrierBehindASlowLinkIsSetAside);
    CPPUNIT_TEST(twoLostCarriersLeaveTheRest);
    CPPUNIT_TEST(carrierDropsOrdersOfAnEarlierLeader);
    CPPUNIT_TEST(repeatedAndLostBatchesRunNothingTwice);
    CPPUNIT_TEST(carriedOrderKeepsItsFence);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a detour between zones for each order.
    void minionsAreCarriedInTheirZone()
    {
        const auto table = tableWith({"a", "b"});
        for (int number = 0; number < 100; ++number) {
            const auto minion = "m" + std::to_string(number);
            CPPUNIT_ASSERT(table.carrierOf(minion, "zone-of-b") == "b");
            CPPUNIT_ASSERT(!table.carrierOf(minion, "zone-own"));
            CPPUNIT_ASSERT(table.carrierOf(minion, "zone-elsewhere").has_value());
        }
        CPPUNIT_ASSERT(!CarrierTable("zone-own").carrierOf("m", "zone-of-a"));
    }

    // Guards against orders that wait for an instance that is gone, and against minions that move for no reason.
    void silentInstanceLosesItsMinionsOnly()
    {
        auto table = tableWith({"a", "b", "c"});
        std::vector<std::string> before;
        before.reserve(100);
        for (int number = 0; number < 100; ++number)
            before.push_back(table.carrierOf("m" + std::to_string(number), "zone-elsewhere").value());
        table.answered(begin + 450ms, "b", begin + 440ms, "zone-of-b");
        table.answered(begin + 450ms, "c", begin + 440ms, "zone-of-c");
        const std::vector<std::string> all{"a", "b", "c"};
        table.setInstances(begin + 600ms, all);
        CPPUNIT_ASSERT(!table.isUsable("a") && table.isUsable("b"));
        for (int number = 0; number < 100; ++number) {
            const auto &earlier = before.at(static_cast<std::size_t>(number));
            const auto carrier = table.carrierOf("m" + std::to_string(number), "zone-elsewhere").value();
            CPPUNIT_ASSERT(earlier == "a" ? carrier != "a" : carrier == earlier);
        }
        table.failed(begin + 610ms, "b", 200ms);
        CPPUNIT_ASSERT(!table.isUsable("b"));
        table.answered(begin + 900ms, "b", begin + 890ms, "zone-of-b");
        CPPUNIT_ASSERT(table.isUsable("b"));
    }

    // Guards against orders that seem old since this process was late to read the carrier's clock.
    void delayedClockReadingSaysNothingNew()
    {
        auto table = tableWith({"a"});
        CPPUNIT_ASSERT(table.clockAtLeast(begin + 1s, "a") == Duration(10'980ms));
        table.recordClock(begin + 1s, "a", 10'500ms);
        CPPUNIT_ASSERT(table.clockAtLeast(begin + 1s, "a") == Duration(10'980ms));
        table.recordClock(begin + 1s, "a", 10'999ms);
        CPPUNIT_ASSERT(table.clockAtLeast(begin + 1s, "a") == Duration(10'999ms));
        CPPUNIT_ASSERT(!table.clockAtLeast(begin, "b"));
    }

    // Guards against a leader that calls all minions itself.
    void calmLeaderCallsItsOwnZoneOnly()
    {
        CarriedCell cell(1, carriers, minions);
        cell.run(1s);
        cell.directStarts = 0;
        cell.carriedStarts = 0;
        cell.run(3s);
        cell.finish(10s);
        checkRules(cell, 1);
        CPPUNIT_ASSERT(cell.carriedStarts > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.directStarts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.lapsedRuns);
        CPPUNIT_ASSERT(cell.longestStart <= 50ms);
    }

    // Guards against leases that lapse, and tasks that run twice, as an instance is gone.
    void killedCarrierIsReplacedAtOnce()
    {
        play([](CarriedCell &cell, std::uint64_t seed) {
            cell.kill(seed % carriers);
            cell.run(3s);
            cell.revive(seed % carriers);
        });
    }

    // Guards against orders that an instance sends after it was paused.
    void pausedCarrierSendsNothingLate()
    {
        play([](CarriedCell &cell, std::uint64_t seed) {
            for (const auto span : {100ms, 400ms, 2500ms}) {
                cell.pause(seed % carriers, span);
                cell.run(3s);
            }
        });
    }

    // Guards against orders that wait for answers which don't arrive.
    void carrierThatIsCutOffOneWayIsNotWaitedFor()
    {
        for (const auto direction : {CarriedCell::Direction::FromLeader, CarriedCell::Direction::ToLeader}) {
            play([direction](CarriedCell &cell, std::uint64_t seed) {
                cell.cut(seed % carriers, direction);
                cell.run(3s);
                cell.join(seed % carriers);
            });
        }
    }

    // Guards against orders that an instance gets too late to send, one after the other, until the leases lapse.
    void carrierBehindASlowLinkIsSetAside()
    {
        for (const auto slowness : {60ms, 90ms, 150ms, 400ms}) {
            CarriedCell cell(1, carriers, minions, 3s);
            cell.run(4s);
            cell.slow(1, slowness);
            cell.run(8s);
            cell.finish(30s);
            checkRules(cell, 1);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(slowness / 1ms) + " ms", std::size_t{0}, cell.lapsedRuns);
        }
    }

    // Guards against a leader that relies on instances that are not there any more.
    void twoLostCarriersLeaveTheRest()
    {
        play([](CarriedCell &cell, std::uint64_t seed) {
            cell.kill(seed % carriers);
            cell.pause((seed + 1) % carriers, 3s);
            cell.run(3s);
            cell.revive(seed % carriers);
        });
    }

    // Guards against two leaders that act at the same time.
    void carrierDropsOrdersOfAnEarlierLeader()
    {
        play([](CarriedCell &cell, std::uint64_t seed) {
            cell.pause(seed % carriers, 300ms);
            cell.run(Duration(seed * 7000));
            cell.changeLeader();
            cell.run(1s);
            cell.kill((seed + 1) % carriers);
            cell.changeLeader();
            cell.run(1s);
            cell.revive((seed + 1) % carriers);
        });
    }

    // Guards against orders that are carried out twice, and against answers that are taken for those of other orders.
    void repeatedAndLostBatchesRunNothingTwice()
    {
        play([](CarriedCell &cell, std::uint64_t /*seed*/) {
            cell.repeatsBatches = true;
            cell.lostPercent = 5;
            cell.run(4s);
            cell.repeatsBatches = false;
            cell.lostPercent = 0;
        });
    }

    // Guards against a carrier that sends an order under another fence, which the minion would refuse.
    void carriedOrderKeepsItsFence()
    {
        constexpr Jobs::MinionFence fence{5, 3};
        const auto carried = [fence](auto order) {
            order.fence = fence;
            Wire::JobOrder message;
            fill(message, order);
            return message;
        };
        CPPUNIT_ASSERT(toStartOrder(carried(Jobs::StartOrder()), fence.term).fence == fence);
        CPPUNIT_ASSERT(toStopOrder(carried(Jobs::StopOrder()), fence.term).fence == fence);
        CPPUNIT_ASSERT(toThrottleOrder(carried(Jobs::ThrottleOrder()), fence.term).fence == fence);
        CPPUNIT_ASSERT(toLeaseOrder(carried(Jobs::LeaseOrder()), fence.term).fence == fence);
        CPPUNIT_ASSERT(Jobs::MinionFence::fromNumber(fence.number()) == fence);
        CPPUNIT_ASSERT((Jobs::MinionFence{6, 0}.number() > Jobs::MinionFence{5, std::uint64_t{1} << 40}.number()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderCarryingTest);
