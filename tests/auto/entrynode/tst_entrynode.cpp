#include "entrynode/answers.h"
#include "entrynode/callerapi.h"
#include "entrynode/configurationstate.h"
#include "entrynode/minionapi.h"

#include <cppunit/extensions/HelperMacros.h>

#include <entry.pb.h>
#include <zone.pb.h>

#include <set>

using namespace Pistachio;
using namespace Pistachio::Entrynode;

namespace
{

int statusOf(const Transport::Request &request)
{
    const CallerRequest parsed = readCallerRequest(request);
    const auto *rejection = std::get_if<Rejection>(&parsed);
    return rejection ? rejection->status : 0;
}

Wire::ConfigurationPush push(std::uint64_t floor, std::uint64_t version)
{
    Wire::ConfigurationPush result;
    result.set_floor(floor);
    if (version > 0) {
        result.mutable_configuration()->set_version(version);
        for (const char *zone : {"gotaland", "norrland", "svealand"})
            result.mutable_configuration()->add_zones(zone);
    }
    return result;
}

} // namespace

class EntryNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryNodeTest);
    CPPUNIT_TEST(malformedRequestsAreRefused);
    CPPUNIT_TEST(requestIsPassedOnWithoutHopByHopHeaders);
    CPPUNIT_TEST(fingerprintTellsRequestsApart);
    CPPUNIT_TEST(configurationNeverGoesBack);
    CPPUNIT_TEST(homeZoneOfAKeyIsTheSameEverywhere);
    CPPUNIT_TEST(malformedAnnouncementsAreRefused);
    CPPUNIT_TEST(largeAnswerIsNotPassedOnInPart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests whose marks are misread, above all a non-idempotent one taken for an idempotent one.
    void malformedRequestsAreRefused()
    {
        CPPUNIT_ASSERT_EQUAL(0, statusOf({"GET", "/s/ordering/a?b=c", {}, {}}));
        CPPUNIT_ASSERT_EQUAL(404, statusOf({"GET", "/", {}, {}}));
        CPPUNIT_ASSERT_EQUAL(404, statusOf({"GET", "/s/", {}, {}}));
        CPPUNIT_ASSERT_EQUAL(400, statusOf({"POST", "/s/ordering/a", {{"Pistachio-Repeatable", "No"}}, {}}));
        CPPUNIT_ASSERT_EQUAL(400, statusOf({"POST", "/s/ordering/a", {{"pistachio-repeatable", "no"}}, {}}));
        CPPUNIT_ASSERT_EQUAL(
            0,
            statusOf(
                {"POST", "/s/ordering/a", {{"pistachio-repeatable", "no"}, {"idempotency-key", "svealand~1"}}, {}}));
        CPPUNIT_ASSERT_EQUAL(400, statusOf({"GET", "/s/ordering/a", {{"Pistachio-Timeout-Ms", "1s"}}, {}}));
        CPPUNIT_ASSERT_EQUAL(400, statusOf({"GET", "/v1/outcomes/", {}, {}}));
        CPPUNIT_ASSERT_EQUAL(405, statusOf({"POST", "/v1/outcomes/1", {}, {}}));
    }

    // Guards against a caller's connection headers that reach the minion, and against forged marks of this project.
    void requestIsPassedOnWithoutHopByHopHeaders()
    {
        const Transport::Headers headers{{"Connection", "keep-alive, X-Private"},
                                         {"X-Private", "1"},
                                         {"Transfer-Encoding", "chunked"},
                                         {"Pistachio-Refused", "slots"},
                                         {"Accept", "text/plain"}};
        const Transport::Headers result = endToEnd(headers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.size());
        CPPUNIT_ASSERT_EQUAL(std::string("Accept"), result[0].name);
    }

    // Guards against a key that is used for two requests without anyone noticing.
    void fingerprintTellsRequestsApart()
    {
        std::set<std::string> all;
        for (const Transport::Request &request : {Transport::Request{"POST", "/a", {}, "b"},
                                                  {"PUT", "/a", {}, "b"},
                                                  {"POST", "/ab", {}, ""},
                                                  {"POST", "/a", {}, "c"}})
            all.insert(fingerprint(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, all.size());
        CPPUNIT_ASSERT_EQUAL(fingerprint({"POST", "/a", {{"x", "1"}}, "b"}), fingerprint({"POST", "/a", {}, "b"}));
    }

    // Guards against an entry that serves before it has the zone's floor, or that reverts to an older configuration.
    void configurationNeverGoesBack()
    {
        ConfigurationState state;
        CPPUNIT_ASSERT(!state.obstacle().empty());
        state.apply(push(7, 0));
        CPPUNIT_ASSERT(!state.obstacle().empty());
        state.apply(push(7, 6));
        CPPUNIT_ASSERT(!state.obstacle().empty());
        CPPUNIT_ASSERT(state.apply(push(7, 8)));
        CPPUNIT_ASSERT(state.obstacle().empty());
        CPPUNIT_ASSERT(!state.apply(push(5, 7)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, state.version());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, state.floor());
    }

    // Guards against two entries that ask different zones for the record of the same key.
    void homeZoneOfAKeyIsTheSameEverywhere()
    {
        ConfigurationState state;
        const ZoneId own("svealand");
        CPPUNIT_ASSERT(state.homeZone("gotaland~1", own) == own);
        state.apply(push(1, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("gotaland"), state.homeZone("gotaland~1", own).value());
        std::map<ZoneId, int> keys;
        for (int index = 0; index < 300; ++index) {
            const std::string key = "key-" + std::to_string(index);
            const ZoneId zone = state.homeZone(key, own);
            CPPUNIT_ASSERT(zone == state.homeZone(key, ZoneId("norrland")));
            ++keys[zone];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, keys.size());
        for (const auto &[zone, count] : keys)
            CPPUNIT_ASSERT(count > 60);
    }

    // Guards against minions with unusable addresses or without slots.
    void malformedAnnouncementsAreRefused()
    {
        CPPUNIT_ASSERT(readAnnouncement(R"({"id":"a","service":"s","address":"127.0.0.1:80"})"));
        for (const char *body : {"", "[]", R"({"id":"a"})", R"({"id":"a/b","service":"s","address":"127.0.0.1:80"})",
                                 R"({"id":"a","service":"s","address":"host:80"})",
                                 R"({"id":"a","service":"s","address":"127.0.0.1:80","slots":0})",
                                 R"({"id":"a","service":"s","address":"127.0.0.1:80","slots":-1})"})
            CPPUNIT_ASSERT_MESSAGE(body, !readAnnouncement(body));
    }

    // Guards against a resend that gets the first part of a stored answer as if it were all of it.
    void largeAnswerIsNotPassedOnInPart()
    {
        for (const std::size_t size : {std::size_t{64} << 10, (std::size_t{64} << 10) + 1}) {
            Wire::StoredAnswer stored;
            store({200, {{"Content-Type", "text/plain"}}, std::string(size, 'x')}, stored);
            const Transport::Response response = storedAnswer(stored, Routing::RequestId("request-1"));
            const bool complete = response.status == 200 && response.body.size() == size;
            CPPUNIT_ASSERT_EQUAL(size == std::size_t{64} << 10, complete);
            CPPUNIT_ASSERT_EQUAL(complete ? 200 : 410, response.status);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryNodeTest);
