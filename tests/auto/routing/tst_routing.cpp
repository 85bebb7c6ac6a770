#include "routing/balancers.h"
#include "routing/router.h"
#include "routing/slotpolicies.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

using namespace Pistachio;
using namespace Pistachio::Routing;

namespace
{

const ServiceId service("ordering");

EntryInfo entry(const std::string &id, const std::string &zone = "svealand", const std::string &region = "north")
{
    return {InstanceId(id), ZoneId(zone), region};
}

/// A router in virtual time that sorts the commands it returns by kind.
struct RouterFixture {
    explicit RouterFixture(RouterSettings settings = {})
    {
        settings.self = entry("entry-1");
        settings.attemptPrefix = "entry-1";
        router = std::make_unique<Router>(settings, std::make_unique<TwoChoicesByShare>(),
                                          std::make_unique<FixedShares>(), 7);
        const std::vector entries{entry("entry-1")};
        router->entriesChanged(now - 1min, entries);
        router->tick(now);
    }

    void announce(const std::string &minion, std::uint32_t slots = 8)
    {
        router->minionAnnounced(now, {MinionId(minion), service, minion, slots});
        collect();
    }

    RequestId submit(const std::string &caller = "school", Duration timeout = 2s)
    {
        RequestId id("request-" + std::to_string(++requestCount));
        router->requestArrived(now, {id, CallerId(caller), service, now + timeout});
        collect();
        return id;
    }

    void endAttempt(const AttemptId &attempt, AttemptEnd attemptEnd = AttemptEnd::Answered, std::uint32_t status = 200)
    {
        router->attemptFinished(now, {attempt, attemptEnd, status});
        collect();
    }

    void advance(Duration time)
    {
        const TimePoint target = now + time;
        while (router->nextTick() <= target) {
            now = std::max(now, router->nextTick());
            router->tick(now);
            collect();
        }
        now = target;
    }

    void collect()
    {
        for (const Command &command : router->takeCommands()) {
            if (const auto *send = std::get_if<SendCommand>(&command))
                sent.push_back(*send);
            else if (const auto *forward = std::get_if<ForwardCommand>(&command))
                forwarded.push_back(*forward);
            else if (const auto *answer = std::get_if<AnswerCommand>(&command))
                answers.push_back(*answer);
            else if (const auto *record = std::get_if<DecisionRecord>(&command))
                decisions.push_back(*record);
        }
    }

    TimePoint now = TimePoint() + 1h;
    std::unique_ptr<Router> router;
    std::vector<SendCommand> sent;
    std::vector<ForwardCommand> forwarded;
    std::vector<AnswerCommand> answers;
    std::vector<DecisionRecord> decisions;
    int requestCount = 0;
};

} // namespace

class RoutingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingTest);
    CPPUNIT_TEST(sharesAddUpToTheSlots);
    CPPUNIT_TEST(largerShareIsUsedOnlyAfterTheDelay);
    CPPUNIT_TEST(leavingOrSilentMinionGetsNoNewRequests);
    CPPUNIT_TEST(callersAreServedInTurn);
    CPPUNIT_TEST(fullQueueEvictsFromCallerWithMostRequests);
    CPPUNIT_TEST(requestIsRefusedWhenWaitExceedsDeadline);
    CPPUNIT_TEST(answersInAnyOrderReachTheirOwnRequest);
    CPPUNIT_TEST(failedAttemptsAreRetriedWithinTheBudget);
    CPPUNIT_TEST(atMostAThirdIsEjectedAndReturnsWithOneRequest);
    CPPUNIT_TEST(unreachableMinionDoesNotAttractRequests);
    CPPUNIT_TEST(nearestEntryWithFreeSlotsIsForwardedTo);
    CPPUNIT_TEST(drainingEntryFinishesAcceptedRequests);
    CPPUNIT_TEST(abandonedRequestIsNotSent);
    CPPUNIT_TEST(decisionIsRecorded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against shares of the entries that together exceed the slots of a minion or leave some unused.
    void sharesAddUpToTheSlots()
    {
        const FixedShares shares;
        for (std::size_t entries = 1; entries <= 9; ++entries) {
            for (int minion = 0; minion < 35; ++minion) {
                const MinionAnnouncement announcement{MinionId("m" + std::to_string(minion)), service, "address"};
                std::uint32_t sum = 0;
                for (std::size_t position = 0; position < entries; ++position)
                    sum += shares.allowance(announcement, {position, entries}, 0);
                CPPUNIT_ASSERT_EQUAL(8U, sum);
            }
        }
    }

    // Guards against slots used by two entries because one of them uses its larger share before the others know of
    // theirs.
    void largerShareIsUsedOnlyAfterTheDelay()
    {
        RouterFixture fixture;
        fixture.announce("a");
        const std::vector twoEntries{entry("entry-1"), entry("entry-2")};
        fixture.router->entriesChanged(fixture.now, twoEntries);
        for (int index = 0; index < 8; ++index)
            fixture.submit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.sent.size());
        const std::vector oneEntry{entry("entry-1")};
        fixture.advance(7s);
        fixture.answers.clear();
        fixture.sent.clear();
        fixture.announce("a");
        fixture.router->entriesChanged(fixture.now, oneEntry);
        for (int index = 0; index < 8; ++index)
            fixture.submit("school", 20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.sent.size());
        fixture.advance(5s);
        fixture.announce("a");
        fixture.advance(1500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, fixture.sent.size());
    }

    // Guards against new requests for a minion that is leaving or has not announced itself for 6 s.
    void leavingOrSilentMinionGetsNoNewRequests()
    {
        RouterFixture fixture;
        fixture.announce("a");
        fixture.announce("b");
        const RequestId firstRequest = fixture.submit();
        const MinionId usedMinion = fixture.sent.back().minion;
        fixture.router->minionLeft(fixture.now, usedMinion);
        for (int index = 0; index < 4; ++index)
            fixture.submit();
        for (std::size_t index = 1; index < fixture.sent.size(); ++index)
            CPPUNIT_ASSERT(fixture.sent[index].minion != usedMinion);
        fixture.endAttempt(fixture.sent.front().attempt);
        CPPUNIT_ASSERT(fixture.answers.back().request == firstRequest
                       && fixture.answers.back().outcome == Outcome::Run);
        fixture.advance(6200ms);
        fixture.submit();
        CPPUNIT_ASSERT(fixture.answers.back().reason == AnswerReason::NoMinion);
        CPPUNIT_ASSERT(fixture.answers.back().outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(fixture.answers.back().retryAfter >= 1s);
    }

    // Guards against a caller whose many requests delay those of other callers.
    void callersAreServedInTurn()
    {
        RouterFixture fixture;
        fixture.announce("a", 1);
        for (int index = 0; index < 20; ++index)
            fixture.submit("greedy");
        const RequestId otherRequest = fixture.submit("modest");
        for (std::size_t index = 0; index < 3; ++index)
            fixture.endAttempt(fixture.sent[index].attempt);
        CPPUNIT_ASSERT(fixture.sent[1].request == otherRequest || fixture.sent[2].request == otherRequest);
    }

    // Guards against an unbounded queue, and against a full queue that refuses callers other than the one that filled
    // it.
    void fullQueueEvictsFromCallerWithMostRequests()
    {
        RouterSettings settings;
        settings.maxQueued = 10;
        RouterFixture fixture(settings);
        fixture.announce("a", 1);
        for (int index = 0; index < 12; ++index)
            fixture.submit("greedy");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers.size());
        CPPUNIT_ASSERT(fixture.answers.back().reason == AnswerReason::QueueFull);
        const RequestId otherRequest = fixture.submit("modest");
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, fixture.router->queuedRequests());
        CPPUNIT_ASSERT(fixture.answers.back().request != otherRequest);
        CPPUNIT_ASSERT(fixture.answers.back().outcome == Outcome::NotRun);
    }

    // Guards against queued requests whose answer would come after the deadline.
    void requestIsRefusedWhenWaitExceedsDeadline()
    {
        RouterFixture fixture;
        fixture.announce("a", 1);
        fixture.submit();
        fixture.advance(500ms);
        fixture.endAttempt(fixture.sent.back().attempt); // a slot is held for 500 ms
        fixture.submit();
        std::size_t accepted = 0;
        while (fixture.answers.size() < 2 && accepted < 100) {
            fixture.submit();
            ++accepted;
        }
        CPPUNIT_ASSERT(fixture.answers.back().reason == AnswerReason::WaitTooLong);
        CPPUNIT_ASSERT(fixture.answers.back().outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(fixture.answers.back().retryAfter >= 1s);
        CPPUNIT_ASSERT(accepted <= 4);
    }

    // Guards against answers matched by order, and against a late or duplicate answer that reaches another caller.
    void answersInAnyOrderReachTheirOwnRequest()
    {
        RouterFixture fixture;
        fixture.announce("a");
        const RequestId firstRequest = fixture.submit();
        const RequestId secondRequest = fixture.submit();
        const AttemptId firstAttempt = fixture.sent[0].attempt;
        const AttemptId secondAttempt = fixture.sent[1].attempt;
        fixture.endAttempt(secondAttempt);
        fixture.endAttempt(secondAttempt);
        fixture.endAttempt(firstAttempt);
        fixture.endAttempt(firstAttempt);
        fixture.submit();
        fixture.endAttempt(firstAttempt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.answers.size());
        CPPUNIT_ASSERT(fixture.answers[0].request == secondRequest && fixture.answers[0].answeredBy == secondAttempt);
        CPPUNIT_ASSERT(fixture.answers[1].request == firstRequest && fixture.answers[1].answeredBy == firstAttempt);
    }

    // Guards against retries that multiply the load when every attempt fails.
    void failedAttemptsAreRetriedWithinTheBudget()
    {
        RouterFixture fixture;
        for (const char *minion : {"a", "b", "c"})
            fixture.announce(minion);
        std::size_t endedCount = 0;
        for (int index = 0; index < 1000; ++index) {
            fixture.submit();
            for (; endedCount < fixture.sent.size(); ++endedCount)
                fixture.endAttempt(fixture.sent[endedCount].attempt, AttemptEnd::ConnectionLost);
            for (const char *minion : {"a", "b", "c"})
                fixture.announce(minion);
            fixture.advance(20ms);
        }
        constexpr std::size_t initialRetries = 10;
        CPPUNIT_ASSERT(fixture.sent.size() > 1000);
        CPPUNIT_ASSERT(fixture.sent.size() <= 1100 + initialRetries);
    }

    // Guards against an outage when all minions fail and are ejected, and against full load on a returning minion.
    void atMostAThirdIsEjectedAndReturnsWithOneRequest()
    {
        RouterFixture fixture;
        const std::vector<std::string> minions{"a", "b", "c", "d", "e", "f"};
        const auto announceAll = [&] {
            for (const std::string &minion : minions)
                fixture.announce(minion);
        };
        announceAll();
        for (int index = 0; index < 200; ++index) {
            fixture.submit();
            fixture.endAttempt(fixture.sent.back().attempt, AttemptEnd::Answered, 500);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, fixture.router->usableMinions());
        fixture.advance(3s);
        announceAll();
        fixture.advance(2500ms);
        announceAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, fixture.router->usableMinions());
        fixture.sent.clear();
        for (int index = 0; index < 48; ++index)
            fixture.submit();
        std::map<MinionId, int> load;
        for (const SendCommand &send : fixture.sent)
            ++load[send.minion];
        int minionsWithOneRequest = 0;
        for (const auto &[minion, count] : load)
            minionsWithOneRequest += count == 1 ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(2, minionsWithOneRequest);
    }

    // Guards against an unreachable minion that always has free slots because it fails at once. The limit on ejections
    // keeps it from being ejected when another one already is.
    void unreachableMinionDoesNotAttractRequests()
    {
        RouterFixture fixture;
        std::size_t endedCount = 0;
        std::map<MinionId, int> attempts;
        for (int index = 0; index < 500; ++index) {
            for (const char *minion : {"a", "b", "c"})
                fixture.announce(minion);
            fixture.submit();
            for (; endedCount < fixture.sent.size(); ++endedCount) {
                const SendCommand send = fixture.sent[endedCount];
                ++attempts[send.minion];
                fixture.advance(2ms);
                fixture.endAttempt(send.attempt,
                                   send.minion == MinionId("a") ? AttemptEnd::Answered : AttemptEnd::NotWritten);
            }
        }
        CPPUNIT_ASSERT(attempts[MinionId("b")] + attempts[MinionId("c")] <= 30);
        std::size_t runCount = 0;
        for (const AnswerCommand &answer : fixture.answers)
            runCount += answer.outcome == Outcome::Run ? 1 : 0;
        CPPUNIT_ASSERT(runCount >= 490);
    }

    // Guards against forwarding to another zone or region while a nearer entry has free slots.
    void nearestEntryWithFreeSlotsIsForwardedTo()
    {
        RouterFixture fixture;
        const auto report = [&](const EntryInfo &peer, std::uint32_t freeSlots) {
            fixture.router->peerReported(fixture.now, {peer, false, {{service, freeSlots, 0}}});
        };
        report(entry("entry-2"), 1);
        report(entry("entry-3", "gotaland"), 1);
        report(entry("entry-4", "norrland", "far"), 1);
        for (int index = 0; index < 4; ++index)
            fixture.submit();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.forwarded.size());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-2"), fixture.forwarded[0].entry.value());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-3"), fixture.forwarded[1].entry.value());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-4"), fixture.forwarded[2].entry.value());
        CPPUNIT_ASSERT(fixture.answers.back().reason == AnswerReason::NoMinion);
    }

    // Guards against a planned stop that drops accepted requests or accepts new ones.
    void drainingEntryFinishesAcceptedRequests()
    {
        RouterFixture fixture;
        fixture.announce("a", 1);
        fixture.submit();
        fixture.submit();
        fixture.router->drain();
        fixture.submit();
        CPPUNIT_ASSERT(fixture.answers.back().reason == AnswerReason::Draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.router->openRequests());
        fixture.endAttempt(fixture.sent[0].attempt);
        fixture.endAttempt(fixture.sent[1].attempt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.router->openRequests());
        CPPUNIT_ASSERT(fixture.answers.back().outcome == Outcome::Run);
    }

    // Guards against wasted slots: a request sent after its caller closed the connection.
    void abandonedRequestIsNotSent()
    {
        RouterFixture fixture;
        fixture.announce("a", 1);
        fixture.submit();
        const RequestId queuedRequest = fixture.submit();
        fixture.router->requestAbandoned(fixture.now, queuedRequest);
        fixture.endAttempt(fixture.sent[0].attempt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.sent.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.router->openRequests());
    }

    // Guards against decision records without the request, candidates, choice or outcome, which explain a decision.
    void decisionIsRecorded()
    {
        RouterFixture fixture;
        fixture.announce("a");
        fixture.announce("b");
        const RequestId request = fixture.submit();
        const DecisionRecord sent = fixture.decisions.back();
        CPPUNIT_ASSERT(sent.request == request && sent.caller == CallerId("school"));
        CPPUNIT_ASSERT_EQUAL(fixture.sent.back().minion.value(), sent.chosen);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.candidates.size());
        CPPUNIT_ASSERT_EQUAL(1U, sent.attemptNumber);
        CPPUNIT_ASSERT(sent.attempt == fixture.sent.back().attempt && !sent.reason.empty());
        fixture.endAttempt(sent.attempt);
        CPPUNIT_ASSERT_EQUAL(std::string("run"), fixture.decisions.back().outcome);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);
