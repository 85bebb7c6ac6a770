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

/// A router with helpers to feed it and to sort its commands.
struct Bench {
    explicit Bench(RouterSettings settings = {})
    {
        settings.self = entry("entry-1");
        settings.attemptPrefix = "entry-1";
        router = std::make_unique<Router>(settings, std::make_unique<TwoChoicesByShare>(),
                                          std::make_unique<FixedShares>(), 7);
        const std::vector view{entry("entry-1")};
        router->entriesChanged(now - 1min, view);
        router->tick(now);
    }

    void announce(const std::string &minion, std::uint32_t slots = 8)
    {
        router->minionAnnounced(now, {MinionId(minion), service, minion, slots});
        collect();
    }

    RequestId ask(const std::string &caller = "school", Duration timeout = 2s)
    {
        RequestId id("request-" + std::to_string(++count));
        router->requestArrived(now, {id, CallerId(caller), service, now + timeout});
        collect();
        return id;
    }

    void end(const AttemptId &attempt, AttemptEnd how = AttemptEnd::Answered, std::uint32_t status = 200)
    {
        router->attemptFinished(now, {attempt, how, status});
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
                records.push_back(*record);
        }
    }

    TimePoint now = TimePoint() + 1h;
    std::unique_ptr<Router> router;
    std::vector<SendCommand> sent;
    std::vector<ForwardCommand> forwarded;
    std::vector<AnswerCommand> answers;
    std::vector<DecisionRecord> records;
    int count = 0;
};

} // namespace

class RoutingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingTest);
    CPPUNIT_TEST(sharesAddUpToTheSlots);
    CPPUNIT_TEST(largerShareIsUsedOnlyAfterTheDelay);
    CPPUNIT_TEST(leavingOrSilentMinionGetsNothingNew);
    CPPUNIT_TEST(callersAreServedInTurn);
    CPPUNIT_TEST(fullQueueTakesFromTheLongestCaller);
    CPPUNIT_TEST(refusesEarlyWhenTheWaitExceedsTheDeadline);
    CPPUNIT_TEST(answersReachTheirOwnRequestInAnyOrder);
    CPPUNIT_TEST(retriesStayWithinTheBudget);
    CPPUNIT_TEST(ejectsAtMostAThirdAndReturnsCarefully);
    CPPUNIT_TEST(unreachableMinionDoesNotDrawTheLoad);
    CPPUNIT_TEST(nearerEntriesAreAskedFirst);
    CPPUNIT_TEST(drainingFinishesWhatWasAccepted);
    CPPUNIT_TEST(abandonedRequestIsNotSent);
    CPPUNIT_TEST(decisionIsRecorded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against entries that together use more than the slots of a minion, or leave some unused.
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

    // Guards against slots used by two entries while the view of the live entries changes.
    void largerShareIsUsedOnlyAfterTheDelay()
    {
        Bench bench;
        bench.announce("a");
        const std::vector two{entry("entry-1"), entry("entry-2")};
        bench.router->entriesChanged(bench.now, two);
        for (int index = 0; index < 8; ++index)
            bench.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.sent.size());
        const std::vector one{entry("entry-1")};
        bench.advance(7s);
        bench.answers.clear();
        bench.sent.clear();
        bench.announce("a");
        bench.router->entriesChanged(bench.now, one);
        for (int index = 0; index < 8; ++index)
            bench.ask("school", 20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.sent.size());
        bench.advance(5s);
        bench.announce("a");
        bench.advance(1500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, bench.sent.size());
    }

    // Guards against new work for a minion that said it leaves or that has not announced itself for 6 s.
    void leavingOrSilentMinionGetsNothingNew()
    {
        Bench bench;
        bench.announce("a");
        bench.announce("b");
        const RequestId first = bench.ask();
        const MinionId used = bench.sent.back().minion;
        bench.router->minionLeft(bench.now, used);
        for (int index = 0; index < 4; ++index)
            bench.ask();
        for (std::size_t index = 1; index < bench.sent.size(); ++index)
            CPPUNIT_ASSERT(bench.sent[index].minion != used);
        bench.end(bench.sent.front().attempt);
        CPPUNIT_ASSERT(bench.answers.back().request == first && bench.answers.back().outcome == Outcome::Run);
        bench.advance(6200ms);
        bench.ask();
        CPPUNIT_ASSERT(bench.answers.back().reason == AnswerReason::NoMinion);
        CPPUNIT_ASSERT(bench.answers.back().outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(bench.answers.back().retryAfter >= 1s);
    }

    // Guards against a caller with many requests that starves the others.
    void callersAreServedInTurn()
    {
        Bench bench;
        bench.announce("a", 1);
        for (int index = 0; index < 20; ++index)
            bench.ask("greedy");
        const RequestId modest = bench.ask("modest");
        for (std::size_t index = 0; index < 3; ++index)
            bench.end(bench.sent[index].attempt);
        CPPUNIT_ASSERT(bench.sent[1].request == modest || bench.sent[2].request == modest);
    }

    // Guards against an unbounded queue and against one that refuses the callers who did not fill it.
    void fullQueueTakesFromTheLongestCaller()
    {
        RouterSettings settings;
        settings.maxQueued = 10;
        Bench bench(settings);
        bench.announce("a", 1);
        for (int index = 0; index < 12; ++index)
            bench.ask("greedy");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.answers.size());
        CPPUNIT_ASSERT(bench.answers.back().reason == AnswerReason::QueueFull);
        const RequestId modest = bench.ask("modest");
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, bench.router->queuedRequests());
        CPPUNIT_ASSERT(bench.answers.back().request != modest);
        CPPUNIT_ASSERT(bench.answers.back().outcome == Outcome::NotRun);
    }

    // Guards against queued work whose answer would come after the deadline.
    void refusesEarlyWhenTheWaitExceedsTheDeadline()
    {
        Bench bench;
        bench.announce("a", 1);
        bench.ask();
        bench.advance(500ms);
        bench.end(bench.sent.back().attempt); // a slot is held for 500 ms
        bench.ask();
        std::size_t accepted = 0;
        while (bench.answers.size() < 2 && accepted < 100) {
            bench.ask();
            ++accepted;
        }
        CPPUNIT_ASSERT(bench.answers.back().reason == AnswerReason::WaitTooLong);
        CPPUNIT_ASSERT(bench.answers.back().outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(bench.answers.back().retryAfter >= 1s);
        CPPUNIT_ASSERT(accepted <= 4);
    }

    // Guards against answers matched by order, and against a late or repeated answer that reaches another caller.
    void answersReachTheirOwnRequestInAnyOrder()
    {
        Bench bench;
        bench.announce("a");
        const RequestId first = bench.ask();
        const RequestId second = bench.ask();
        const AttemptId firstAttempt = bench.sent[0].attempt;
        const AttemptId secondAttempt = bench.sent[1].attempt;
        bench.end(secondAttempt);
        bench.end(secondAttempt);
        bench.end(firstAttempt);
        bench.end(firstAttempt);
        bench.ask();
        bench.end(firstAttempt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.answers.size());
        CPPUNIT_ASSERT(bench.answers[0].request == second && bench.answers[0].answeredBy == secondAttempt);
        CPPUNIT_ASSERT(bench.answers[1].request == first && bench.answers[1].answeredBy == firstAttempt);
    }

    // Guards against retries that multiply the load when every attempt fails.
    void retriesStayWithinTheBudget()
    {
        Bench bench;
        for (const char *minion : {"a", "b", "c"})
            bench.announce(minion);
        std::size_t ended = 0;
        for (int index = 0; index < 1000; ++index) {
            bench.ask();
            for (; ended < bench.sent.size(); ++ended)
                bench.end(bench.sent[ended].attempt, AttemptEnd::ConnectionLost);
            for (const char *minion : {"a", "b", "c"})
                bench.announce(minion);
            bench.advance(20ms);
        }
        constexpr std::size_t savedRetries = 10;
        CPPUNIT_ASSERT(bench.sent.size() > 1000);
        CPPUNIT_ASSERT(bench.sent.size() <= 1100 + savedRetries);
    }

    // Guards against a fault shared by all minions that takes all of them out, and against a full load on return.
    void ejectsAtMostAThirdAndReturnsCarefully()
    {
        Bench bench;
        const std::vector<std::string> minions{"a", "b", "c", "d", "e", "f"};
        const auto announceAll = [&] {
            for (const std::string &minion : minions)
                bench.announce(minion);
        };
        announceAll();
        for (int index = 0; index < 200; ++index) {
            bench.ask();
            bench.end(bench.sent.back().attempt, AttemptEnd::Answered, 500);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.router->usableMinions());
        bench.advance(3s);
        announceAll();
        bench.advance(2500ms);
        announceAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, bench.router->usableMinions());
        bench.sent.clear();
        for (int index = 0; index < 48; ++index)
            bench.ask();
        std::map<MinionId, int> load;
        for (const SendCommand &send : bench.sent)
            ++load[send.minion];
        int single = 0;
        for (const auto &[minion, count] : load)
            single += count == 1 ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(2, single);
    }

    // Guards against a minion that fails faster than others work and can't be ejected, as another one already is.
    void unreachableMinionDoesNotDrawTheLoad()
    {
        Bench bench;
        std::size_t ended = 0;
        std::map<MinionId, int> attempts;
        for (int index = 0; index < 500; ++index) {
            for (const char *minion : {"a", "b", "c"})
                bench.announce(minion);
            bench.ask();
            for (; ended < bench.sent.size(); ++ended) {
                const SendCommand send = bench.sent[ended];
                ++attempts[send.minion];
                bench.advance(2ms);
                bench.end(send.attempt, send.minion == MinionId("a") ? AttemptEnd::Answered : AttemptEnd::NotWritten);
            }
        }
        CPPUNIT_ASSERT(attempts[MinionId("b")] + attempts[MinionId("c")] <= 30);
        std::size_t run = 0;
        for (const AnswerCommand &answer : bench.answers)
            run += answer.outcome == Outcome::Run ? 1 : 0;
        CPPUNIT_ASSERT(run >= 490);
    }

    // Guards against traffic between regions while the own region can do the work.
    void nearerEntriesAreAskedFirst()
    {
        Bench bench;
        const auto report = [&](const EntryInfo &peer, std::uint32_t freeSlots) {
            bench.router->peerReported(bench.now, {peer, false, {{service, freeSlots, 0}}});
        };
        report(entry("entry-2"), 1);
        report(entry("entry-3", "gotaland"), 1);
        report(entry("entry-4", "norrland", "far"), 1);
        for (int index = 0; index < 4; ++index)
            bench.ask();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.forwarded.size());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-2"), bench.forwarded[0].entry.value());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-3"), bench.forwarded[1].entry.value());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-4"), bench.forwarded[2].entry.value());
        CPPUNIT_ASSERT(bench.answers.back().reason == AnswerReason::NoMinion);
    }

    // Guards against a planned stop that drops accepted requests or takes new ones.
    void drainingFinishesWhatWasAccepted()
    {
        Bench bench;
        bench.announce("a", 1);
        bench.ask();
        bench.ask();
        bench.router->drain();
        bench.ask();
        CPPUNIT_ASSERT(bench.answers.back().reason == AnswerReason::Draining);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.router->openRequests());
        bench.end(bench.sent[0].attempt);
        bench.end(bench.sent[1].attempt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.router->openRequests());
        CPPUNIT_ASSERT(bench.answers.back().outcome == Outcome::Run);
    }

    // Guards against work for callers that no longer wait.
    void abandonedRequestIsNotSent()
    {
        Bench bench;
        bench.announce("a", 1);
        bench.ask();
        const RequestId waiting = bench.ask();
        bench.router->requestAbandoned(bench.now, waiting);
        bench.end(bench.sent[0].attempt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.sent.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.router->openRequests());
    }

    // Guards against decisions that can't be explained from the log.
    void decisionIsRecorded()
    {
        Bench bench;
        bench.announce("a");
        bench.announce("b");
        const RequestId request = bench.ask();
        const DecisionRecord sent = bench.records.back();
        CPPUNIT_ASSERT(sent.request == request && sent.caller == CallerId("school"));
        CPPUNIT_ASSERT_EQUAL(bench.sent.back().minion.value(), sent.chosen);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.candidates.size());
        CPPUNIT_ASSERT_EQUAL(1U, sent.attemptNumber);
        CPPUNIT_ASSERT(sent.attempt == bench.sent.back().attempt && !sent.reason.empty());
        bench.end(sent.attempt);
        CPPUNIT_ASSERT_EQUAL(std::string("run"), bench.records.back().outcome);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);
