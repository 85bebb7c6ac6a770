#include "jobs/orders.h"
#include "platform/controlprotocol.h"
#include "platform/taskformat.h"

#include <jobs.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Pistachio;
using namespace Pistachio::Platform;

class ControlProtocolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlProtocolTest);
    CPPUNIT_TEST(reportIsDecoded);
    CPPUNIT_TEST(reportsOfOtherWritersAreRefused);
    CPPUNIT_TEST(configurationIsDecoded);
    CPPUNIT_TEST(badConfigurationsAreRefused);
    CPPUNIT_TEST(taskNames);
    CPPUNIT_TEST_SUITE_END();

    static std::string report(const std::string &changed)
    {
        return R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,"capacity":{"cpu":16000,"memMb":32768,"gpu":2},)"
               R"("labels":["a","r1"],"born":1700,"sequence":4,)"
            + changed + "}";
    }

    static std::string configuration(const std::string &routes)
    {
        return R"({"version":7,"routes":[)" + routes + R"(],"services":[{"name":"s","preconditions":false}]})";
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
        const auto body = configuration(
            R"({"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":3000,"targetLatencyMs":300,"priority":1,"service":"s",)"
            R"("maxAttempts":4,"slackFactor":2.5,"recommendation":{"decisionMs":9.3,"perWorkerMs":0.13,"validityMs":2000}})");
        const auto decoded = ControlProtocol::decodeConfiguration(body);
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(body, decoded.value().document());
        const auto &queue = decoded.value().queues(0);
        CPPUNIT_ASSERT_EQUAL(2.5, queue.slack_factor());
        CPPUNIT_ASSERT(queue.needs_advice());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, queue.ticket_validity_ms());
    }

    void badConfigurationsAreRefused()
    {
        const std::string good = R"({"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":3000,"service":"s"})";
        auto twice = good;
        twice.append(",").append(good);
        CPPUNIT_ASSERT(ControlProtocol::decodeConfiguration(configuration(good)));
        for (const std::string &body :
             {configuration(good).substr(0, 60), configuration(twice),
              configuration(R"({"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":0,"service":"s"})"),
              configuration(R"({"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":3000,"service":"nobody"})"),
              configuration("7"), std::string(R"({"routes":[],"services":[]})")}) {
            CPPUNIT_ASSERT_MESSAGE(body, !ControlProtocol::decodeConfiguration(body));
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
