#include "scriptedminion.h"

#include <nlohmann/json.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Platform;
using Jobs::OrderOutcome;
using nlohmann::json;

namespace
{

Transport::Response reply(int status, const json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace

class PlatformClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformClientTest);
    CPPUNIT_TEST(startCarriesEverything);
    CPPUNIT_TEST(refusalsAreToldApart);
    CPPUNIT_TEST(listsAreDecoded);
    CPPUNIT_TEST(fullListOfEndsIsNotTheWhole);
    CPPUNIT_TEST(lostStartIsToldFromOneOnANewConnection);
    CPPUNIT_TEST(unreadableListsAreNoAnswer);
    CPPUNIT_TEST(closeAnswersWhatIsUnderWay);
    CPPUNIT_TEST(adviceIsAwaitedUpToItsLimit);
    CPPUNIT_TEST(orderWithoutAConnectionIsNotSent);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Jobs::MinionFence fence{7, 3};

    static Jobs::StartOrder order(const std::string &address)
    {
        Jobs::StartOrder result;
        result.minion = {"i-1", 1700};
        result.address = address;
        result.task = {{"5c0e7a21d94b36f8", 0, 1}, 3};
        result.run = 2;
        result.payload = "text";
        result.checkpoint = "c";
        result.ticket = "t";
        result.leaseExpiresAtMs = 486'000;
        result.fence = fence;
        return result;
    }

public:
    void startCarriesEverything()
    {
        ScriptedMinion minion;
        minion.answer = reply(200, {{"clockMs", 482'113}});
        const auto answer = minion.start(order(minion.address()));
        CPPUNIT_ASSERT(answer.outcome == OrderOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{482'113}, answer.clockMs.value());
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                             std::string(Transport::headerValue(minion.request.headers, "Expected-Instance")));
        const auto body = json::parse(minion.request.body);
        CPPUNIT_ASSERT(body
                       == json({{"task", "5c0e7a21d94b36f8.0.1.3"},
                                {"runId", 2},
                                {"taskSpec", "text"},
                                {"expiresAtMs", 486'000},
                                {"fencingToken", fence.number()},
                                {"checkpoint", "c"},
                                {"ticket", "t"}}));
    }

    // Taking a refusal for doubt costs time; taking doubt for a refusal may run a task twice.
    void refusalsAreToldApart()
    {
        ScriptedMinion minion;
        for (const auto &[reason, outcome] : {std::pair("fence", OrderOutcome::StaleFencingToken),
                                              {"old", OrderOutcome::StaleRun},
                                              {"late", OrderOutcome::LeaseTooShort},
                                              {"room", OrderOutcome::InsufficientCapacity},
                                              {"ticket", OrderOutcome::TicketRejected}}) {
            minion.answer = reply(409, {{"clockMs", 1}, {"reason", reason}});
            CPPUNIT_ASSERT(minion.start(order(minion.address())).outcome == outcome);
        }
        for (const auto &[status, outcome] : {std::pair(421, OrderOutcome::IncarnationMismatch),
                                              {429, OrderOutcome::Refused},
                                              {503, OrderOutcome::Refused},
                                              {500, OrderOutcome::Unanswered},
                                              {400, OrderOutcome::Invalid}}) {
            minion.answer = {status, {}, {}};
            CPPUNIT_ASSERT(minion.start(order(minion.address())).outcome == outcome);
        }
    }

    void listsAreDecoded()
    {
        ScriptedMinion minion;
        minion.answer = reply(200,
                              {{"clockMs", 5},
                               {"born", 1700},
                               {"active", {{"5c0e7a21d94b36f8.0.1.17", 2, "cp", 41, 120}}},
                               {"endedRuns", {{58, "5c0e7a21d94b36f8.0.1.9", 1, "lapsed", "x"}}}});
        const auto answer = minion.renewLease({{"i-1", 1700}, minion.address(), 9000, 57, 500ms, fence});
        CPPUNIT_ASSERT(answer.outcome == OrderOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1700}, answer.bornUnixMs);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{120}, answer.active.at(0).measurement);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, answer.ended.at(0).number);
        CPPUNIT_ASSERT(answer.ended.at(0).end == Jobs::RunEnd::LeaseExpired);
        CPPUNIT_ASSERT(
            json::parse(minion.request.body)
            == json({{"expiresAtMs", 9000}, {"fencingToken", fence.number()}, {"ackCursor", 57}, {"waitMs", 500}}));
    }

    // A run whose end is in the next list was taken for one that had never started, and its task ran again.
    void fullListOfEndsIsNotTheWhole()
    {
        ScriptedMinion minion;
        for (const std::size_t count : {0, 499, 500}) {
            auto ended = json::array();
            for (std::size_t number = 1; number <= count; ++number)
                ended.push_back({number, "5c0e7a21d94b36f8.0.1." + std::to_string(number), 1, "done", ""});
            minion.answer
                = reply(200, {{"clockMs", 5}, {"born", 1700}, {"active", json::array()}, {"endedRuns", ended}});
            const auto answer = minion.renewLease({{"i-1", 1700}, minion.address(), 9000, 0, 0ms, fence});
            CPPUNIT_ASSERT_EQUAL(count, answer.ended.size());
            CPPUNIT_ASSERT(answer.areEndsComplete);
            CPPUNIT_ASSERT_EQUAL(count == 500, answer.hasMoreEnds);
        }
        minion.answer = reply(200, {{"clockMs", 5}, {"born", 1700}, {"active", json::array()}, {"endedRuns", {7}}});
        CPPUNIT_ASSERT(!minion.renewLease({{"i-1", 1700}, minion.address(), 9000, 0, 0ms, fence}).areEndsComplete);
    }

    // A later incarnation can get only what is written to a new connection, and may answer it; waiting for it each time
    // would cost seconds.
    void lostStartIsToldFromOneOnANewConnection()
    {
        ScriptedMinion minion;
        minion.answersNothing = true;
        const auto onNew = minion.start(order(minion.address()));
        CPPUNIT_ASSERT(onNew.outcome == OrderOutcome::Unanswered);
        CPPUNIT_ASSERT(onNew.mayReachLaterIncarnation);
        minion.answersNothing = false;
        minion.answer = reply(200, {{"clockMs", 1}});
        const auto answered = minion.start(order(minion.address()));
        CPPUNIT_ASSERT(answered.outcome == OrderOutcome::Done);
        CPPUNIT_ASSERT(answered.mayReachLaterIncarnation);
        CPPUNIT_ASSERT(!minion.start(order(minion.address())).mayReachLaterIncarnation);
        minion.answersNothing = true;
        const auto onOpen = minion.start(order(minion.address()));
        CPPUNIT_ASSERT(onOpen.outcome == OrderOutcome::Unanswered);
        CPPUNIT_ASSERT(!onOpen.mayReachLaterIncarnation);
    }

    // A list that is read in part would show tasks as gone that still run.
    void unreadableListsAreNoAnswer()
    {
        ScriptedMinion minion;
        for (const auto &body : {json({{"clockMs", 5}, {"active", 7}}), json({{"clockMs", 5}, {"endedRuns", 7}}),
                                 json({{"clockMs", 5}, {"born", "x"}})}) {
            minion.answer = reply(200, body);
            CPPUNIT_ASSERT(minion.renewLease({{"i-1", 1}, minion.address(), {}, 0, 0ms, fence}).outcome
                           == OrderOutcome::Unanswered);
        }
    }

    // Answers that came after the end of whoever had asked crashed the process.
    void closeAnswersWhatIsUnderWay()
    {
        ScriptedMinion minion;
        int answers = 0;
        const auto count = [&answers](const Jobs::LeaseAnswer &given) {
            CPPUNIT_ASSERT(given.outcome == OrderOutcome::Unanswered);
            ++answers;
        };
        Jobs::LeaseOrder order;
        order.minion = {"m1", 5};
        order.address = minion.address();
        minion.client.renewLease(order, count);
        CPPUNIT_ASSERT_EQUAL(0, answers);
        minion.client.close();
        CPPUNIT_ASSERT_EQUAL(1, answers);
        minion.client.renewLease(order, count);
        CPPUNIT_ASSERT_EQUAL(2, answers);
    }

    // Guards against advice that is given up before a slow service can answer.
    void adviceIsAwaitedUpToItsLimit()
    {
        Transport::EventLoop loop;
        std::vector<Transport::Responder> held;
        Transport::HttpServer service(
            loop, {},
            [&held](const Transport::Request &, const Transport::Responder &responder) { held.push_back(responder); });
        const auto port = service.listen({"127.0.0.1", 0}).value();
        Logging::Logger logger("test", "test", "error", "/dev/null");
        PlatformClient client(loop, logger, {"127.0.0.1", port}, 64);
        std::optional<bool> answered;
        const auto ask = [&](Duration limit) {
            Jobs::AdviceRequest request;
            request.minions = {"i-1"};
            request.limit = limit;
            client.ask(request, [&answered](bool isAnswer, const auto &) { answered = isAnswer; });
            loop.runFor(400ms);
        };
        ask(100ms);
        CPPUNIT_ASSERT(answered == std::optional(false));
        answered.reset();
        ask(10s);
        CPPUNIT_ASSERT(!answered);
        held.back().respond(reply(200, {{"approved", json::array({json::array({"i-1", "t"})})}}));
        loop.runFor(400ms);
        CPPUNIT_ASSERT(answered == std::optional(true));
    }

    // Guards against taking a lack of connections in this process for a minion that may have carried out an order.
    void orderWithoutAConnectionIsNotSent()
    {
        Transport::EventLoop loop;
        Logging::Logger logger("test", "test", "error", "/dev/null");
        std::vector<Transport::Responder> held;
        Transport::HttpServer minion(
            loop, {},
            [&held](const Transport::Request &, const Transport::Responder &responder) { held.push_back(responder); });
        const auto address = "127.0.0.1:" + std::to_string(minion.listen({"127.0.0.1", 0}).value());
        PlatformClient client(loop, logger, {"127.0.0.1", 1}, 1);
        Jobs::LeaseOrder renewal;
        renewal.address = address;
        renewal.wait = 2s;
        std::optional<OrderOutcome> renewed;
        client.renewLease(renewal, [&](const Jobs::LeaseAnswer &answer) { renewed = answer.outcome; });
        std::optional<OrderOutcome> started;
        client.start(order(address), [&](const Jobs::OrderAnswer &answer) { started = answer.outcome; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client.connections());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client.waitingCalls());
        loop.runFor(500ms);
        CPPUNIT_ASSERT(started == OrderOutcome::NotSent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held.size());
        CPPUNIT_ASSERT(!renewed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);
