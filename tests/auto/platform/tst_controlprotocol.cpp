#include "configurationtext.h"
#include "jobs/orders.h"
#include "platform/configurationformat.h"
#include "platform/controlprotocol.h"
#include "platform/taskformat.h"

#include <jobs.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Platform;

class ControlProtocolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlProtocolTest);
    CPPUNIT_TEST(reportIsDecoded);
    CPPUNIT_TEST(reportsOfOtherWritersAreRefused);
    CPPUNIT_TEST(configurationIsDecoded);
    CPPUNIT_TEST(badConfigurationsAreRefused);
    CPPUNIT_TEST(teamsAreDecoded);
    CPPUNIT_TEST(badTeamsAreRefusedWithoutTheirKeys);
    CPPUNIT_TEST(taskNames);
    CPPUNIT_TEST_SUITE_END();

    static std::string report(const std::string &changed)
    {
        return R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,"capacity":{"cpu":16000,"memMb":32768,"gpu":2},)"
               R"("labels":["a","r1"],"born":1700,"sequence":4,)"
            + changed + "}";
    }

    static std::string configuration(const std::vector<nlohmann::json> &routes)
    {
        auto result = completeConfiguration();
        result["routes"] = routes;
        return result.dump();
    }

    static std::string withTeams(const std::string &teams)
    {
        return withValue(fullConfiguration(), "/tenants"_json_pointer, '[' + teams + ']');
    }

public:
    void reportIsDecoded()
    {
        const auto decoded = ControlProtocol::decodeReport("i-1", report(R"("state":"draining")"));
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1700}, decoded.value().incarnation.bornUnixMs);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{16000}, decoded.value().milliCores);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, decoded.value().accelerators);
        CPPUNIT_ASSERT(decoded.value().draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decoded.value().labels.size());
    }

    // Such a report names no minion to use.
    void reportsOfOtherWritersAreRefused()
    {
        for (const std::string &body :
             {std::string("\xff\xfe"), std::string("{}"), report(R"("state":"resting")"), report(R"("state":7)"),
              report(R"("state":"ready","service":7)"),
              std::string(R"({"service":"s","address":"nowhere","state":"ready","capacity":{"cpu":1}})"),
              std::string(R"({"service":"s","address":"10.0.0.9:80","state":"ready","capacity":{"cpu":"1"}})")}) {
            CPPUNIT_ASSERT_MESSAGE(body, !ControlProtocol::decodeReport("i-1", body));
        }
        CPPUNIT_ASSERT(!ControlProtocol::decodeReport("", report(R"("state":"ready")")));
    }

    void configurationIsDecoded()
    {
        const auto body = fullConfiguration().dump();
        const auto decoded = decodeConfiguration(body);
        CPPUNIT_ASSERT_MESSAGE(decoded ? "" : decoded.error().message, decoded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, std::uint64_t{decoded.value().version()});
        CPPUNIT_ASSERT_EQUAL(body, decoded.value().document());
        const auto &queue = decoded.value().queues(0);
        CPPUNIT_ASSERT_EQUAL(std::string("h/p/"), queue.host() + queue.path_prefix());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, std::uint32_t{queue.priority()});
        CPPUNIT_ASSERT_EQUAL(2.5, queue.slack_factor());
        CPPUNIT_ASSERT(queue.needs_advice());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, queue.ticket_validity_ms());
        CPPUNIT_ASSERT(decoded.value().services(0).guards_capacity());
        CPPUNIT_ASSERT(!decoded.value().services(0).standby());
    }

    void badConfigurationsAreRefused()
    {
        const auto good = completeRoute();
        const auto goodBody = configuration({good});
        auto timeless = good;
        timeless["timeoutMs"] = 0;
        auto ofNobody = good;
        ofNobody["service"] = "nobody";
        CPPUNIT_ASSERT(decodeConfiguration(goodBody));
        for (const std::string &body :
             {goodBody.substr(0, 60), configuration({good, good}), configuration({timeless}), configuration({ofNobody}),
              configuration({7}), std::string(R"({"routes":[],"services":[]})")}) {
            CPPUNIT_ASSERT_MESSAGE(body, !decodeConfiguration(body));
        }
    }

    void teamsAreDecoded()
    {
        const auto decoded = decodeConfiguration(withTeams(
            R"({"name":"hule930","apiKeys":["k-1","k-2"],"priority":1,"weight":23.5,"cap":{"cpu":11846543,"gpu":361}},)"
            R"({"name":"without-a-cap","apiKeys":[],"weight":0})"));
        CPPUNIT_ASSERT(decoded);
        const auto &team = decoded.value().teams(0);
        CPPUNIT_ASSERT_EQUAL(std::string("hule930"), team.name());
        CPPUNIT_ASSERT_EQUAL(std::string("k-2"), team.keys(1));
        CPPUNIT_ASSERT_EQUAL(23.5, team.weight());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{11'846'543}, team.cap().milli_cores());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, team.cap().memory_mb());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{361}, team.cap().accelerators());
        CPPUNIT_ASSERT(!decoded.value().teams(1).has_cap());
        CPPUNIT_ASSERT(decoded.value().queues(0).anonymous());
    }

    // The reason of a refusal is logged and sent back.
    void badTeamsAreRefusedWithoutTheirKeys()
    {
        const std::string key = "sycamore-3471-key";
        const auto team
            = [&key](const std::string &more) { return R"({"name":"t","apiKeys":[")" + key + R"("],)" + more + "}"; };
        CPPUNIT_ASSERT(decodeConfiguration(withTeams(team(R"("weight":1)"))));
        for (const std::string &teams :
             {team(R"("weight":-1)"), team(R"("weight":1e7)"), team(R"("weight":1e400)"), team(R"("weight":"1")"),
              team(R"("cap":{"cpu":-1})"), team(R"("cap":{"memMb":2147483648})"), team(R"("cap":{"gpu":1e300})"),
              team(R"("cap":7)"), team(R"("cap":{"cpu":1.5})"), team(R"("priority":-1)"), team(R"("weight":1},7,{)"),
              team(R"("weight":1)") + R"(,{"name":"u","apiKeys":[")" + key + R"("]})",
              team(R"("weight":1)") + R"(,{"name":"t","apiKeys":[]})",
              std::string(R"({"apiKeys":["sycamore-3471-key"]})"),
              std::string(R"({"name":"t","apiKeys":["sycamore-3471-key",7]})"),
              std::string(R"({"name":"t","apiKeys":"sycamore-3471-key"})"),
              std::string(R"({"name":"t","apiKeys":["sycamore-3471-key)")}) {
            const auto decoded = decodeConfiguration(withTeams(teams));
            CPPUNIT_ASSERT_MESSAGE(teams, !decoded);
            CPPUNIT_ASSERT_MESSAGE(teams, decoded.error().message.find(key) == std::string::npos);
        }
    }

    void taskNames()
    {
        const Jobs::TaskName task{{"5c0e7a21d94b36f8", 2, 1}, 17};
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.2.1.17"), formatTask(task));
        CPPUNIT_ASSERT(parseTask("5c0e7a21d94b36f8.2.1.17") == task);
        for (const auto *text : {"", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1.2.-3", "a.1.2."})
            CPPUNIT_ASSERT_MESSAGE(text, !parseTask(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlProtocolTest);
