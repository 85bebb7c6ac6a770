#include "zonefixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace Pistachio;
using namespace Pistachio::EndToEnd;

namespace
{

const std::vector<std::string> loadArguments{"--requests=0", "--seconds=120", "--parallel=8", "--pause_ms=2",
                                             "--non_idempotent_percent=20"};

std::uint64_t count(const nlohmann::json &report, const char *name)
{
    return report.value(name, std::uint64_t{0});
}

void assertNoneFailed(const nlohmann::json &report)
{
    const std::string text = report.dump();
    CPPUNIT_ASSERT_MESSAGE(text, count(report, "requests") > 1000);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, count(report, "requests"), count(report, "ok"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0}, count(report, "broken"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0}, count(report, "refused"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0}, count(report, "outcome_unknown"));
}

void assertWithinLimits(const std::vector<nlohmann::json> &minions)
{
    std::uint64_t keys = 0;
    for (const nlohmann::json &minion : minions) {
        const std::string text = minion.dump();
        CPPUNIT_ASSERT_MESSAGE(text, count(minion, "runs") > 0);
        CPPUNIT_ASSERT_MESSAGE(text, count(minion, "most_slots_in_use") <= 8);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0}, count(minion, "keys_run_twice"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0}, count(minion, "attempts_2s_after_leaving"));
        keys += count(minion, "keys");
    }
    CPPUNIT_ASSERT(keys > 0);
}

} // namespace

class RestartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RestartTest);
    CPPUNIT_TEST(rollingRestartAndLeavingMinionFailNoRequest);
    CPPUNIT_TEST(killedEntryIsNoticed);
    CPPUNIT_TEST(claimOfAKilledEntryIsSettledByItsRestart);
    CPPUNIT_TEST(entryWithoutControlStaysUnready);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against planned stops of entries and minions that fail or repeat requests, or answer a wrong one.
    void rollingRestartAndLeavingMinionFailNoRequest()
    {
        ZoneFixture zone;
        zone.startEntry(0);
        zone.startEntry(1);
        const auto staying = zone.startMinions("staying", 3);
        const auto leaving = zone.startMinions("leaving", 1);
        CPPUNIT_ASSERT(zone.waitReady(0) && zone.waitReady(1));
        const auto load = zone.startLoad(loadArguments);
        for (const std::size_t entry : {std::size_t{0}, std::size_t{1}}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(zone.log(entry), 0, zone.stopEntry(entry));
            zone.startEntry(entry);
            CPPUNIT_ASSERT_MESSAGE(zone.log(entry), zone.waitReady(entry));
        }
        const auto left = zone.stopAndRead(*leaving, "leaving");
        assertNoneFailed(zone.stopAndRead(*load, "load").front());
        auto minions = zone.stopAndRead(*staying, "staying");
        minions.insert(minions.end(), left.begin(), left.end());
        assertWithinLimits(minions);
    }

    // Guards against a load generator that counts no failures whatever happens: an entry that is killed must fail some.
    void killedEntryIsNoticed()
    {
        ZoneFixture zone;
        zone.startEntry(0);
        zone.startEntry(1);
        const auto minions = zone.startMinions("minion", 3);
        CPPUNIT_ASSERT(zone.waitReady(0) && zone.waitReady(1));
        const auto load = zone.startLoad({"--requests=0", "--seconds=120", "--parallel=16"});
        std::this_thread::sleep_for(std::chrono::seconds(1));
        zone.entry(0).kill();
        std::this_thread::sleep_for(std::chrono::seconds(1));
        const auto report = zone.stopAndRead(*load, "load", 1).front();
        CPPUNIT_ASSERT_MESSAGE(report.dump(), count(report, "broken") > 0);
    }

    // Guards against a key that stays claimed for ever because the entry that held it restarts before it counts as
    // silent.
    void claimOfAKilledEntryIsSettledByItsRestart()
    {
        ZoneFixture zone;
        zone.startEntry(0);
        zone.startEntry(1);
        const auto minion = zone.startMinions("minion", 1, 3000);
        CPPUNIT_ASSERT(zone.waitReady(0) && zone.waitReady(1));
        const auto load = zone.startLoad({"--requests=1", "--non_idempotent_percent=100"});
        const Transport::Request same{
            "POST", "/s/ordering/item/1", {{"Pistachio-Repeatable", "no"}, {"Idempotency-Key", "load-1"}}, "body of 1"};
        std::this_thread::sleep_for(std::chrono::seconds(1));
        const auto during = zone.call(1, true, same);
        CPPUNIT_ASSERT(during && during.value().status == 409);
        zone.entry(0).kill();
        zone.startEntry(0);
        CPPUNIT_ASSERT_MESSAGE(zone.log(0), zone.waitReady(0));
        const auto resent = zone.call(1, true, same);
        CPPUNIT_ASSERT(resent && resent.value().status == 504);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                             std::string(headerValue(resent.value().headers, "Pistachio-Outcome")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, count(zone.stopAndRead(*minion, "minion").front(), "runs"));
    }

    // Guards against an entry that serves without a configuration, and against malformed requests without a 4xx.
    void entryWithoutControlStaysUnready()
    {
        ZoneFixture zone;
        zone.writeSettings(0, "127.0.0.1:1");
        zone.startEntry(0);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        const auto ready = zone.call(0, false, {"GET", "/readyz", {}, {}});
        CPPUNIT_ASSERT(ready && ready.value().status == 503);
        CPPUNIT_ASSERT(ready.value().body.find("no control instance") != std::string::npos);
        const auto request = zone.call(0, true, {"GET", "/s/ordering/", {}, {}});
        CPPUNIT_ASSERT(request && request.value().status == 503);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                             std::string(headerValue(request.value().headers, "Pistachio-Outcome")));
        CPPUNIT_ASSERT(zone.log(0).find("control-unreachable") != std::string::npos);

        const auto unmarked = zone.call(0, true, {"POST", "/s/ordering/", {{"Pistachio-Repeatable", "no"}}, {}});
        CPPUNIT_ASSERT(unmarked && unmarked.value().status == 400);
        CPPUNIT_ASSERT(Cluster::waitFor([&] { return zone.log(0).find("request-rejected") != std::string::npos; },
                                        std::chrono::milliseconds(2000)));
        const auto large = zone.call(0, true, {"POST", "/s/ordering/", {}, std::string(2000, 'x')});
        CPPUNIT_ASSERT(large && large.value().status == 413);
        const auto page = zone.call(0, true, {"GET", "/metrics", {}, {}});
        CPPUNIT_ASSERT(page && page.value().status == 404);
        CPPUNIT_ASSERT_EQUAL(0, zone.stopEntry(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartTest);
