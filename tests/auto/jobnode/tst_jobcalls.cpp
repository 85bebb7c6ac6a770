#include "directleader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobnode;

namespace
{

using Queues = DirectLeader::Queues;

const std::string firstId = "0000000000000001";
const std::string first = "/q/" + firstId;
const std::string second = "/q/0000000000000002";
const std::string keyA = "key-of-a";
const std::string keyB = "key-of-b";

Wire::JobConfiguration twoTeams(std::uint64_t version, Queues queues = Queues::Both)
{
    return DirectLeader::configuration(version, {{"a", keyA}, {"b", keyB}}, queues);
}

void assertVerdict(Wire::JobVerdict expected, const Wire::JobReply &reply)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.reason(), int{expected}, int{reply.verdict()});
}

} // namespace

class JobCallsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobCallsTest);
    CPPUNIT_TEST(refusedJobIsNotHeldByAnEarlierAttempt);
    CPPUNIT_TEST(keyIsCheckedAgainAtApply);
    CPPUNIT_TEST(heldJobStaysAcceptedAtApply);
    CPPUNIT_TEST(callsNeedAKeyInForce);
    CPPUNIT_TEST(withoutTeamsNoKeyIsAsked);
    CPPUNIT_TEST(anonymousQueueTakesAnyKey);
    CPPUNIT_TEST(teamsSeeTheirOwnJobsOnly);
    CPPUNIT_TEST(idIsHeldByOneTeam);
    CPPUNIT_TEST(jobsOfARemovedTeamAreHidden);
    CPPUNIT_TEST(noRefusalDeniesAHeldJob);
    CPPUNIT_TEST(acceptedJobIsFoundUnderAnotherPrefix);
    CPPUNIT_TEST(acceptedJobOfAnotherTeamStaysHidden);
    CPPUNIT_TEST(jobOfARemovedQueueCanBeCancelled);
    CPPUNIT_TEST(jobOfARemovedQueueIsCancelledByItsTeamOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    // A first attempt was checked before its queue was removed and applied afterwards. A second one in between was told
    // that there is no such queue, though the job then ran.
    void refusedJobIsNotHeldByAnEarlierAttempt()
    {
        DirectLeader leader;
        leader.configure(DirectLeader::configuration(1, {}));
        leader.propose(DirectLeader::configuration(2, {}, Queues::OpenOnly));
        const auto earlier = leader.begin(DirectLeader::submission(first, {}));
        auto later = std::make_shared<Wire::JobReply>();
        leader.onConfiguration([&] { later = leader.begin(DirectLeader::submission(first, {})); });
        leader.apply();
        assertVerdict(Wire::JOB_VERDICT_NO_SUCH_QUEUE, *later);
        CPPUNIT_ASSERT(!leader.store.job(firstId));
        assertVerdict(Wire::JOB_VERDICT_NO_SUCH_QUEUE, *earlier);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, std::uint64_t{earlier->configuration()});
    }

    // A key that is removed while a submission is being committed would still let its job in, and one that moves to
    // another team would count for the old one.
    void keyIsCheckedAgainAtApply()
    {
        struct Case {
            Wire::JobConfiguration before;
            Wire::JobConfiguration after;
            std::string key;
            Wire::JobVerdict verdict;
            std::string team;
        };
        const auto teams = [](std::uint64_t version, const std::string &team, const std::string &key) {
            return DirectLeader::configuration(version, {{team, key}});
        };
        const auto none = [](std::uint64_t version) { return DirectLeader::configuration(version, {}); };
        for (const auto &[before, after, key, verdict, team] :
             {Case{teams(1, "a", keyA), teams(2, "a", keyB), keyA, Wire::JOB_VERDICT_UNAUTHENTICATED, ""},
              Case{teams(1, "a", keyA), teams(2, "a", ""), keyA, Wire::JOB_VERDICT_UNAUTHENTICATED, ""},
              Case{teams(1, "a", keyA), twoTeams(2), keyA, Wire::JOB_VERDICT_ACCEPTED, "a"},
              Case{teams(1, "a", keyA), teams(2, "b", keyA), keyA, Wire::JOB_VERDICT_ACCEPTED, "b"},
              Case{none(1), twoTeams(2), "", Wire::JOB_VERDICT_UNAUTHENTICATED, ""},
              Case{none(1), twoTeams(2), keyB, Wire::JOB_VERDICT_ACCEPTED, "b"},
              Case{twoTeams(1), none(2), keyA, Wire::JOB_VERDICT_ACCEPTED, ""},
              Case{twoTeams(1, Queues::QIsAnonymous), twoTeams(2), "", Wire::JOB_VERDICT_UNAUTHENTICATED, ""},
              Case{teams(1, "a", keyA), DirectLeader::configuration(2, {{"a", keyB}}, Queues::QIsAnonymous), keyA,
                   Wire::JOB_VERDICT_ACCEPTED, ""}}) {
            DirectLeader leader;
            leader.configure(before);
            leader.propose(after);
            const auto reply = leader.begin(DirectLeader::submission(first, key));
            leader.apply();
            assertVerdict(verdict, *reply);
            const auto *job = leader.store.job(firstId);
            CPPUNIT_ASSERT_EQUAL(verdict == Wire::JOB_VERDICT_ACCEPTED, job != nullptr);
            if (job)
                CPPUNIT_ASSERT_EQUAL(team, job->submission().team());
        }
    }

    // The acknowledgement of a job was lost while its key was being removed; the job is held and must not be refused.
    void heldJobStaysAcceptedAtApply()
    {
        DirectLeader leader;
        leader.configure(twoTeams(1));
        const auto lost = leader.begin(DirectLeader::submission(first, keyA));
        leader.propose(DirectLeader::configuration(2, {{"b", keyB}}));
        const auto repeated = leader.begin(DirectLeader::submission(first, keyA));
        leader.apply();
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, *lost);
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, *repeated);
        assertVerdict(Wire::JOB_VERDICT_UNKNOWN, leader.call(DirectLeader::submission(first, keyA)));
    }

    // Each kind of call has to ask for a key, not submissions only; a place without a queue stays 404.
    void callsNeedAKeyInForce()
    {
        DirectLeader leader;
        leader.configure(twoTeams(1));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(first, keyA)));
        leader.configure(DirectLeader::configuration(2, {{"a", "key-3"}, {"b", keyB}}));
        for (const std::string &key : {std::string(), std::string("other"), keyA, std::string(10'000, 'k')}) {
            assertVerdict(Wire::JOB_VERDICT_UNAUTHENTICATED, leader.call(DirectLeader::submission(second, key)));
            assertVerdict(Wire::JOB_VERDICT_UNAUTHENTICATED, leader.call(DirectLeader::read(first, key)));
            assertVerdict(Wire::JOB_VERDICT_UNAUTHENTICATED, leader.call(DirectLeader::read("/q/", key)));
            assertVerdict(Wire::JOB_VERDICT_UNAUTHENTICATED, leader.call(DirectLeader::cancellation(first, key)));
            assertVerdict(Wire::JOB_VERDICT_NO_SUCH_QUEUE, leader.call(DirectLeader::read("/z/", key)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader.store.jobs().size());
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::read("/q/", keyB)));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::read(first, "key-3")));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::cancellation(first, "key-3")));
    }

    void withoutTeamsNoKeyIsAsked()
    {
        DirectLeader leader;
        leader.configure(DirectLeader::configuration(1, {}));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(first, {})));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(second, "any")));
        CPPUNIT_ASSERT_EQUAL(std::string(), leader.store.job(firstId)->submission().team());
        // Jobs of no team stay readable once there are teams.
        leader.configure(twoTeams(2));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::read(first, keyA)));
    }

    void anonymousQueueTakesAnyKey()
    {
        DirectLeader leader;
        leader.configure(twoTeams(1));
        const auto path = [](int number) { return "/open/000000000000000" + std::to_string(number); };
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(path(1), {})));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(path(2), "other")));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(path(3), keyB)));
        CPPUNIT_ASSERT_EQUAL(std::string(), leader.store.job("0000000000000002")->submission().team());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), leader.store.job("0000000000000003")->submission().team());
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::read(path(1), {})));
        assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, leader.call(DirectLeader::read(path(3), {})));
        assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, leader.call(DirectLeader::read(path(3), keyA)));
    }

    void teamsSeeTheirOwnJobsOnly()
    {
        DirectLeader leader;
        auto configuration = twoTeams(1);
        configuration.mutable_teams(0)->add_keys("second-key-of-a");
        leader.configure(configuration);
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(first, keyA)));
        assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, leader.call(DirectLeader::read(first, keyB)));
        assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, leader.call(DirectLeader::cancellation(first, keyB)));
        CPPUNIT_ASSERT(leader.store.job(firstId)->phase() == Jobs::JobPhase::Active);
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::read(first, "second-key-of-a")));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::cancellation(first, "second-key-of-a")));
        CPPUNIT_ASSERT(leader.store.job(firstId)->phase() == Jobs::JobPhase::Cancelled);
    }

    // Two teams that submit one id at a time would both be told that their job is accepted.
    void idIsHeldByOneTeam()
    {
        DirectLeader leader;
        leader.configure(twoTeams(1));
        const auto one = leader.begin(DirectLeader::submission(first, keyA));
        const auto other = leader.begin(DirectLeader::submission(first, keyB));
        leader.apply();
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, *one);
        assertVerdict(Wire::JOB_VERDICT_INVALID, *other);
        assertVerdict(Wire::JOB_VERDICT_INVALID, leader.call(DirectLeader::submission(first, keyB)));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(first, keyA)));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), leader.store.job(firstId)->submission().team());
    }

    void jobsOfARemovedTeamAreHidden()
    {
        DirectLeader leader;
        leader.configure(twoTeams(1));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(first, keyA)));
        leader.configure(DirectLeader::configuration(2, {{"b", keyB}}));
        assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, leader.call(DirectLeader::read(first, keyB)));
        leader.configure(DirectLeader::configuration(3, {}));
        assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, leader.call(DirectLeader::read(first, keyA)));
        CPPUNIT_ASSERT(leader.store.job(firstId)->phase() == Jobs::JobPhase::Active);
        CPPUNIT_ASSERT(leader.store.team("a"));
        leader.configure(DirectLeader::configuration(4, {{"a", "key-3"}}));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::read(first, "key-3")));
    }

    // Each refusal says that the job never runs, so none of them may go to a caller whose job is held.
    void noRefusalDeniesAHeldJob()
    {
        DirectLeader leader;
        leader.configure(twoTeams(1));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(first, keyA)));
        const auto submitsBoth = [&leader](Wire::JobVerdict refusal, const std::string &key, bool isValid = true) {
            for (const auto &path : {first, second}) {
                auto call = DirectLeader::submission(path, key);
                if (!isValid)
                    call.mutable_submission()->clear_steps();
                assertVerdict(path == first ? Wire::JOB_VERDICT_UNKNOWN : refusal, leader.call(call));
            }
        };
        submitsBoth(Wire::JOB_VERDICT_UNAUTHENTICATED, {});
        submitsBoth(Wire::JOB_VERDICT_UNAUTHENTICATED, "other");
        submitsBoth(Wire::JOB_VERDICT_INVALID, keyA, false);
        leader.configure(DirectLeader::configuration(2, {{"b", keyB}}));
        submitsBoth(Wire::JOB_VERDICT_UNAUTHENTICATED, keyA);
        leader.configure(DirectLeader::configuration(3, {{"a", keyA}}, Queues::OpenOnly));
        submitsBoth(Wire::JOB_VERDICT_NO_SUCH_QUEUE, keyA);
        auto shorter = DirectLeader::configuration(4, {{"a", keyA}});
        shorter.mutable_queues(0)->set_path_prefix("/");
        leader.configure(shorter);
        submitsBoth(Wire::JOB_VERDICT_INVALID, keyA);
        leader.configure(DirectLeader::configuration(5, {{"b", keyB}}, Queues::QIsAnonymous));
        assertVerdict(Wire::JOB_VERDICT_UNKNOWN, leader.call(DirectLeader::submission(first, keyA)));
    }

    // Guards against an accepted job that is denied, and can't be cancelled, once a queue with a shorter or longer
    // prefix answers at its path.
    void acceptedJobIsFoundUnderAnotherPrefix()
    {
        for (const auto *prefix : {"/", "/q", "/q/0", "/q/00000000000000"}) {
            DirectLeader leader;
            leader.configure(DirectLeader::configuration(1, {}));
            assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(first, {})));
            auto changed = DirectLeader::configuration(2, {});
            changed.mutable_queues(0)->set_path_prefix(prefix);
            leader.configure(changed);
            const auto read = leader.call(DirectLeader::read(first, {}));
            assertVerdict(Wire::JOB_VERDICT_ACCEPTED, read);
            CPPUNIT_ASSERT_EQUAL(int{Wire::JOB_STATE_QUEUED}, int{read.state()});
            assertVerdict(Wire::JOB_VERDICT_UNKNOWN, leader.call(DirectLeader::submission(first, {})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader.store.jobs().size());
            assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::cancellation(first, {})));
            CPPUNIT_ASSERT(leader.store.job(firstId)->phase() == Jobs::JobPhase::Cancelled);
            assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, leader.call(DirectLeader::read(second, {})));
        }
    }

    // Guards against showing a job to another team because it was accepted at the path that is asked for.
    void acceptedJobOfAnotherTeamStaysHidden()
    {
        DirectLeader leader;
        leader.configure(twoTeams(1));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(first, keyA)));
        auto shorter = twoTeams(2);
        shorter.mutable_queues(0)->set_path_prefix("/");
        leader.configure(shorter);
        assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, leader.call(DirectLeader::read(first, keyB)));
        assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, leader.call(DirectLeader::cancellation(first, keyB)));
        assertVerdict(Wire::JOB_VERDICT_INVALID, leader.call(DirectLeader::submission(first, keyB)));
        assertVerdict(Wire::JOB_VERDICT_UNAUTHENTICATED, leader.call(DirectLeader::read(first, {})));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::read(first, keyA)));
    }

    // Guards against a long-running or repeated job, or a gang, that nobody can end once its queue was removed.
    void jobOfARemovedQueueCanBeCancelled()
    {
        for (const bool isRepeated : {false, true}) {
            DirectLeader leader;
            leader.configure(DirectLeader::configuration(1, {}));
            auto submission = DirectLeader::submission(first, {});
            auto &step = *submission.mutable_submission()->mutable_steps(0);
            step.set_tasks(3);
            step.set_gang(isRepeated);
            step.set_long_running(!isRepeated);
            submission.mutable_submission()->set_repeat_count(isRepeated ? 3 : 0);
            submission.mutable_submission()->set_interval_ms(60'000);
            assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(submission));
            leader.configure(DirectLeader::configuration(2, {}, Queues::OpenOnly));
            const auto cancellation = DirectLeader::cancellation(first, {});
            const auto reply = leader.begin(cancellation);
            assertVerdict(Wire::JOB_VERDICT_UNSPECIFIED, *reply); // nothing is promised before it is committed
            leader.apply();
            assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, *reply);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, std::uint64_t{reply->configuration()});
            CPPUNIT_ASSERT(leader.store.job(firstId)->phase() == Jobs::JobPhase::Cancelled);
            assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, leader.call(cancellation));
            assertVerdict(Wire::JOB_VERDICT_NO_SUCH_QUEUE, leader.call(DirectLeader::read(first, {})));
            leader.configure(DirectLeader::configuration(3, {}));
            const auto read = leader.call(DirectLeader::read(first, {}));
            assertVerdict(Wire::JOB_VERDICT_ACCEPTED, read);
            CPPUNIT_ASSERT_EQUAL(int{Wire::JOB_STATE_CANCELLED}, int{read.state()});
            assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(cancellation));
        }
    }

    // Guards against ending, or telling of, another team's job at a path where no queue says who may call.
    void jobOfARemovedQueueIsCancelledByItsTeamOnly()
    {
        DirectLeader leader;
        leader.configure(twoTeams(1));
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(first, keyA)));
        const std::string open = "/open/0000000000000003";
        assertVerdict(Wire::JOB_VERDICT_ACCEPTED, leader.call(DirectLeader::submission(open, {})));
        leader.configure(twoTeams(2, Queues::None));
        for (const auto &key : {keyB, std::string("other"), std::string()}) {
            const auto ofAnother = leader.call(DirectLeader::cancellation(first, key));
            const auto ofNone = leader.call(DirectLeader::cancellation(second, key));
            assertVerdict(Wire::JOB_VERDICT_NO_SUCH_QUEUE, ofAnother);
            assertVerdict(Wire::JOB_VERDICT_NO_SUCH_QUEUE, ofNone);
        }
        CPPUNIT_ASSERT(leader.store.job(firstId)->phase() == Jobs::JobPhase::Active);
        assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, leader.call(DirectLeader::cancellation(first, keyA)));
        CPPUNIT_ASSERT(leader.store.job(firstId)->phase() == Jobs::JobPhase::Cancelled);
        assertVerdict(Wire::JOB_VERDICT_NO_SUCH_JOB, leader.call(DirectLeader::cancellation(open, {})));
        CPPUNIT_ASSERT(leader.store.job("0000000000000003")->phase() == Jobs::JobPhase::Cancelled);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobCallsTest);
