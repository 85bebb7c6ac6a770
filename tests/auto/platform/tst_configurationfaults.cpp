#include "configurationtext.h"
#include "logging/logger.h"
#include "platform/configurationformat.h"
#include "platform/controlprotocol.h"
#include "recordingservice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Platform;
using nlohmann::json;

namespace
{

/// \return where each value of the document stands, but for the document itself.
std::vector<json::json_pointer> places(const json &document)
{
    std::vector<json::json_pointer> result;
    const auto flat = document.flatten();
    for (auto item = flat.begin(); item != flat.end(); ++item) {
        for (json::json_pointer place(item.key()); !place.empty(); place = place.parent_pointer()) {
            if (std::find(result.begin(), result.end(), place) == result.end())
                result.push_back(place);
        }
    }
    return result;
}

/// \return the name of the field that holds the place: its own, or that of the list.
std::string fieldOf(const json::json_pointer &place)
{
    const auto &name = place.back();
    const bool isItem = name.find_first_not_of("0123456789") == std::string::npos;
    return isItem ? place.parent_pointer().back() : name;
}

bool mayBeMissing(const std::string &field)
{
    static const std::set<std::string> optional{"anonymous", "recommendation", "standby", "tenants", "weight", "cap",
                                                "cpu",       "memMb",          "gpu"};
    return optional.contains(field);
}

} // namespace

/// Configurations with one fault each. None may be acknowledged, be in force, or displace the one before.
class ConfigurationFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationFaultsTest);
    CPPUNIT_TEST(valueOfAnotherTypeIsRefused);
    CPPUNIT_TEST(numberOutOfRangeIsRefused);
    CPPUNIT_TEST(missingFieldIsRefused);
    CPPUNIT_TEST(fieldThatStandsTwiceIsRefused);
    CPPUNIT_TEST(unreadableBodyIsRefused);
    CPPUNIT_TEST(faultyKeyIsRefused);
    CPPUNIT_TEST(validConfigurationIsAccepted);
    CPPUNIT_TEST_SUITE_END();

    const json valid_ = fullConfiguration();
    const std::string before_ = completeConfiguration().dump();

    /// \param field is named by the refusal
    void assertRefused(const std::string &body, const std::string &field)
    {
        RecordingService service;
        Logging::Logger logger("test", "test", "error", "/dev/null");
        ControlProtocol protocol(service, logger, 1);
        const auto call = [&protocol](const std::string &method, const std::string &verb, const std::string &text) {
            Transport::Response result;
            protocol.handle({method, "/pistachioworks/config/" + verb, {}, text},
                            Transport::Responder([&result](const Transport::Response &answer) { result = answer; }));
            return result;
        };
        CPPUNIT_ASSERT_EQUAL(200, call("POST", "replace", before_).status);
        const auto answer = call("POST", "replace", body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400, answer.status);
        CPPUNIT_ASSERT_MESSAGE(answer.body + " for " + body, answer.body.find(field) != std::string::npos);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(body, before_, call("GET", "read", {}).body);
    }

    void assertAccepted(const std::string &body)
    {
        const auto decoded = decodeConfiguration(body);
        CPPUNIT_ASSERT_MESSAGE((decoded ? "" : decoded.error().message + " for ") + body, decoded);
        CPPUNIT_ASSERT_EQUAL(body, decoded.value().document());
    }

public:
    void valueOfAnotherTypeIsRefused()
    {
        for (const auto &place : places(valid_)) {
            for (const json &other :
                 {json(nullptr), json("text"), json(7), json(true), json::array(), json::object()}) {
                const bool isSameType
                    = other.type() == valid_[place].type() || (other.is_number() && valid_[place].is_number());
                if (!isSameType)
                    assertRefused(withValue(valid_, place, other.dump()), fieldOf(place));
            }
        }
    }

    void numberOutOfRangeIsRefused()
    {
        const std::set<std::string> mayBeFractions{"slackFactor", "decisionMs", "perWorkerMs", "weight"};
        for (const auto &place : places(valid_)) {
            if (!valid_[place].is_number())
                continue;
            assertRefused(withValue(valid_, place, "-1"), fieldOf(place));
            assertRefused(withValue(valid_, place, "9007199254740993"), fieldOf(place));
            assertRefused(withValue(valid_, place, "1e999"), "number");
            if (!mayBeFractions.contains(fieldOf(place)))
                assertRefused(withValue(valid_, place, "1.5"), fieldOf(place));
        }
        assertRefused(withValue(valid_, "/version"_json_pointer, "0"), "version");
        assertRefused(withValue(valid_, "/routes/0/timeoutMs"_json_pointer, "0"), "timeout");
        assertRefused(withValue(valid_, "/routes/0/targetLatencyMs"_json_pointer, "315360000001"), "target latency");
    }

    void missingFieldIsRefused()
    {
        for (const auto &place : places(valid_)) {
            if (!valid_[place.parent_pointer()].is_object())
                continue;
            auto changed = valid_;
            changed[place.parent_pointer()].erase(place.back());
            const bool isOfTeam = place.to_string().starts_with("/tenants/0/priority");
            if (isOfTeam || mayBeMissing(place.back()))
                assertAccepted(changed.dump());
            else
                assertRefused(changed.dump(), place.back());
        }
    }

    // Other readers of the document would use the value that this one ignores.
    void fieldThatStandsTwiceIsRefused()
    {
        for (const auto &place : places(valid_)) {
            if (!valid_[place.parent_pointer()].is_object())
                continue;
            auto twice = valid_[place].dump();
            twice.append(",\"").append(place.back()).append("\":").append(valid_[place].dump());
            assertRefused(withValue(valid_, place, twice), place.back());
        }
        assertRefused(withValue(valid_, "/version"_json_pointer, R"(7,"unknown":{"a":1,"a":2})"), "a stands twice");
    }

    void unreadableBodyIsRefused()
    {
        const auto text = valid_.dump();
        for (const std::string &body :
             {std::string(), text.substr(0, text.size() - 1), text + "}", text + " {}", text + "\xff", "[" + text + "]",
              "\xef\xbb\xbf" + text, withValue(valid_, "/routes/0/host"_json_pointer, "\"\xc3\x28\"")}) {
            assertRefused(body, "body");
        }
    }

    void faultyKeyIsRefused()
    {
        assertRefused(withValue(valid_, "/tenants/0/apiKeys/1"_json_pointer, R"("")"), "empty key");
        auto shared = valid_;
        shared["tenants"].push_back({{"name", "other"}, {"apiKeys", {"k-3", "k-1"}}});
        assertRefused(shared.dump(), "share a key");
    }

    // Guards against refusing what was accepted with good reason, and may be sent again.
    void validConfigurationIsAccepted()
    {
        assertAccepted(before_);
        assertAccepted(valid_.dump());
        assertAccepted(' ' + valid_.dump(2) + '\n');
        assertAccepted(withValue(valid_, "/version"_json_pointer, R"(7.0,"fieldOfALaterVersion":{"a":null})"));
        assertAccepted(withValue(valid_, "/routes/0/priority"_json_pointer, "0"));
        assertAccepted(withValue(valid_, "/limits/maxBodyBytes"_json_pointer, "4294967296"));
        assertAccepted(withValue(valid_, "/tenants/0/apiKeys"_json_pointer, "[]"));
        assertAccepted(withValue(valid_, "/tenants"_json_pointer, "[]"));
        assertAccepted(withValue(completeConfiguration(), "/routes"_json_pointer, "[]"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationFaultsTest);
