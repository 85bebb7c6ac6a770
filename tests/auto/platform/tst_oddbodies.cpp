#include "configurationtext.h"
#include "logging/logger.h"
#include "oddvalues.h"
#include "platform/callerprotocol.h"
#include "platform/configurationformat.h"
#include "platform/controlprotocol.h"
#include "recordingservice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Platform;

/// Reports, jobs and configurations of another writer: each is refused as a whole.
class OddBodiesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OddBodiesTest);
    CPPUNIT_TEST(oddReportIsAccepted);
    CPPUNIT_TEST(oddJobIsAccepted);
    CPPUNIT_TEST(oddConfigurationIsAccepted);
    CPPUNIT_TEST(oddIncarnationRemovesTheMinion);
    CPPUNIT_TEST_SUITE_END();

    static std::string shorten(const std::string &text) { return text.substr(0, 120); }

    static std::string report(const std::string &address, const std::string &cpu, const std::string &labels,
                              const std::string &more)
    {
        return R"({"service":"s","address":)" + address + R"(,"zone":"z","state":"ready","capacity":{"cpu":)" + cpu
            + R"(,"memMb":1,"gpu":0},"labels":)" + labels + more + "}";
    }

public:
    void oddReportIsAccepted()
    {
        const std::string address = R"("10.0.0.9:80")";
        CPPUNIT_ASSERT(ControlProtocol::decodeReport("i-1", report(address, "1", R"(["a"])", "")));
        std::vector<std::string> bodies;
        for (const auto *odd : {"65536", "99999999999999999999", "-1", "0", "", "80x"})
            bodies.push_back(report(R"("10.0.0.9:)" + std::string(odd) + "\"", "1", "[]", ""));
        for (const auto &odd : oddValues()) {
            bodies.push_back(report(address, "1", "[" + odd + "]", ""));
            if (odd == "null")
                continue;
            bodies.push_back(report(odd, "1", "[]", ""));
            bodies.push_back(report(address, odd, "[]", ""));
            bodies.push_back(report(address, "1", "[]", R"(,"sequence":)" + odd));
            if (odd != "-1")
                bodies.push_back(report(address, "1", "[]", R"(,"born":)" + odd));
        }
        RecordingService service;
        Logging::Logger logger("test", "test", "error", "/dev/null");
        ControlProtocol protocol(service, logger, 1);
        for (const auto &body : bodies) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shorten(body), 400,
                                         post(protocol, "/pistachioworks/instances/i-1/heartbeat", body));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shorten(body), 0, service.calls);
        }
    }

    static int post(ControlProtocol &protocol, const std::string &target, const std::string &body)
    {
        int status = 0;
        protocol.handle(
            {"POST", target, {}, body},
            Transport::Responder([&status](const Transport::Response &response) { status = response.status; }));
        return status;
    }

    void oddJobIsAccepted()
    {
        const auto job = [](const std::string &step, const std::string &more) {
            return R"({"taskSpec":"x","jobSteps":[{"count":1)" + step + "}]" + more + "}";
        };
        CPPUNIT_ASSERT(CallerProtocol::decodeJob(job("", "")));
        for (const auto &odd : oddValues()) {
            if (odd == "null")
                continue;
            for (const auto *name :
                 {"cpu", "memMb", "gpu", "estimateMs", "maxPerServer", "missAllowed", "targetMs", "requiredLabel"})
                CPPUNIT_ASSERT_MESSAGE(name + shorten(odd),
                                       !CallerProtocol::decodeJob(job(std::string(",\"") + name + "\":" + odd, "")));
            for (const auto *name : {"repeatCount", "startAtMs", "intervalMs"})
                CPPUNIT_ASSERT_MESSAGE(name + shorten(odd),
                                       !CallerProtocol::decodeJob(job("", std::string(",\"") + name + "\":" + odd)));
            CPPUNIT_ASSERT_MESSAGE(shorten(odd), !CallerProtocol::decodeJob(job(R"(,"dependsOn":[)" + odd + "]", "")));
            CPPUNIT_ASSERT_MESSAGE(shorten(odd), !CallerProtocol::decodeJob(R"({"jobSteps":[)" + odd + "]}"));
        }
        // Sums and products of such amounts would overflow.
        for (const auto *step :
             {R"(,"cpu":9000000000000000)", R"(,"memMb":9000000000000000)", R"(,"estimateMs":9000000000000000)"})
            CPPUNIT_ASSERT_MESSAGE(step, !CallerProtocol::decodeJob(job(step, "")));
        for (const auto *more :
             {R"(,"repeatCount":3,"intervalMs":9000000000000000)", R"(,"repeatCount":3,"startAtMs":9000000000000000)"})
            CPPUNIT_ASSERT_MESSAGE(more, !CallerProtocol::decodeJob(job("", more)));
    }

    void oddConfigurationIsAccepted()
    {
        const auto withField = [](const std::string &pointer, std::string_view value) {
            return withValue(fullConfiguration(), nlohmann::json::json_pointer(pointer), value);
        };
        CPPUNIT_ASSERT(decodeConfiguration(fullConfiguration().dump()));
        for (const auto &odd : oddValues()) {
            for (const auto *name : {"priority", "maxAttempts", "slackFactor", "targetLatencyMs", "recommendation"}) {
                const auto body = withField(std::string("/routes/0/") + name, odd);
                CPPUNIT_ASSERT_MESSAGE(shorten(name + odd), !decodeConfiguration(body));
            }
        }
        for (const auto &odd : {std::string("1e999"), nested(200'000)})
            CPPUNIT_ASSERT(!decodeConfiguration(withField("/limits", odd)));
        CPPUNIT_ASSERT(!decodeConfiguration(withField("/routes/0/maxAttempts", "4294967297")));
    }

    // Without a readable incarnation the whole id left, whichever incarnation the message was about.
    void oddIncarnationRemovesTheMinion()
    {
        RecordingService service;
        Logging::Logger logger("test", "test", "error", "/dev/null");
        ControlProtocol protocol(service, logger, 1);
        const std::string target = "/pistachioworks/instances/i-1/deregister";
        for (const std::string &body :
             {std::string(R"({"born":1e999})"), std::string(R"({"born":18446744073709551615})"),
              R"({"born":)" + nested(100) + "}", std::string("\xff"), std::string("[]")}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shorten(body), 400, post(protocol, target, body));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shorten(body), 0, service.calls);
        }
        CPPUNIT_ASSERT_EQUAL(200, post(protocol, target, ""));
        CPPUNIT_ASSERT_EQUAL(200, post(protocol, target, R"({"born":7})"));
        CPPUNIT_ASSERT_EQUAL(2, service.calls);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddBodiesTest);
