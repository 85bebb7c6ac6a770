#include "jobnode/memberchanges.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Jobnode;
using Replication::MembershipChange;

namespace
{

constexpr Duration silenceLimit = 1s;
constexpr Duration catchUpLimit = 4s;
constexpr Duration changeInterval = 500ms;
const TimePoint start{std::chrono::hours(1)};
const InstanceId a{"10.0.0.1"};
const InstanceId b{"10.0.0.2"};
const InstanceId c{"10.0.0.3"};
const InstanceId newC{"10.0.0.3~1f"};
const InstanceId d{"10.0.0.4"};
const InstanceId e{"10.0.0.5"};
const InstanceId f{"10.0.0.6"};

/// A group whose members all answer, but for those in `silent`.
class Group
{
public:
    std::optional<MembershipChange> next(TimePoint now)
    {
        std::vector<Replication::MemberStatus> status;
        for (const auto *list : {&members.voters, &members.learners}) {
            for (const auto &id : *list) {
                if (id == a)
                    continue;
                const bool isSilent = std::find(silent.begin(), silent.end(), id) != silent.end();
                Replication::MemberStatus item;
                item.instance = id;
                item.isVoter = list == &members.voters;
                if (!isSilent)
                    item.timeSinceAnswer = Duration(50ms);
                else if (now > ledSince + 5s)
                    item.timeSinceAnswer = now - ledSince - 1s;
                status.push_back(item);
            }
        }
        return changes.next(now, {a, ledSince, commitIndex, members, status});
    }

    void apply(const MembershipChange &change)
    {
        std::erase(members.voters, change.instance);
        std::erase(members.learners, change.instance);
        if (change.kind == MembershipChange::Kind::AddLearner)
            members.learners.push_back(change.instance);
        else if (change.kind == MembershipChange::Kind::Promote)
            members.voters.push_back(change.instance);
    }

    /// Makes all changes that follow at one time.
    std::vector<MembershipChange::Kind> play(TimePoint now)
    {
        std::vector<MembershipChange::Kind> kinds;
        while (const auto change = next(now)) {
            kinds.push_back(change->kind);
            apply(*change);
        }
        return kinds;
    }

    MemberChanges changes{3, silenceLimit};
    Replication::Membership members{{a, b, c}, {}};
    std::vector<InstanceId> silent; ///< answered last one second after the leader began, as far as it remembers
    TimePoint ledSince = start - std::chrono::minutes(1);
    Replication::LogIndex commitIndex = 0; ///< all members hold the entries up to 0
};

} // namespace

class MemberChangesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberChangesTest);
    CPPUNIT_TEST(calmGroupStays);
    CPPUNIT_TEST(lostDiskComesBackUnderANewId);
    CPPUNIT_TEST(secondLossOfTheSameDisk);
    CPPUNIT_TEST(spareTakesTheVoteOfOneThatIsGone);
    CPPUNIT_TEST(spareThatWasThereVotesBeforeTheSilentVoterLeaves);
    CPPUNIT_TEST(removedVoterStaysAwayUntilItComesBack);
    CPPUNIT_TEST(spareThatLagsTakesNoVote);
    CPPUNIT_TEST(silentVoterStaysWithoutASpare);
    CPPUNIT_TEST(newLeaderWaitsBeforeItRemovesVoters);
    CPPUNIT_TEST(newLeaderMovesNoMoreVotesThanThereAreSuccessors);
    CPPUNIT_TEST(silentVoterStaysInALargerGroupThanWanted);
    CPPUNIT_TEST(supersededInstanceDoesNotJoinAgain);
    CPPUNIT_TEST(lateAnnouncementOfALostDisk);
    CPPUNIT_TEST(leavingVoterGivesItsVoteToItsSuccessor);
    CPPUNIT_TEST(leavingLeaderGivesItsVoteToItsSuccessor);
    CPPUNIT_TEST(leavingVoterStaysWithoutASuccessor);
    CPPUNIT_TEST(restartedVoterLeavesNoMore);
    CPPUNIT_TEST_SUITE_END();

public:
    void calmGroupStays()
    {
        Group group;
        group.changes.seen(start, b);
        group.changes.seen(start, c);
        CPPUNIT_ASSERT(!group.next(start));
    }

    // Two of the old voters and the one without a memory must never form a majority that forgets.
    void lostDiskComesBackUnderANewId()
    {
        Group group;
        group.silent = {c};
        std::vector<MembershipChange::Kind> kinds;
        for (auto now = start; now < start + 10s; now += 500ms) {
            group.changes.seen(now, b);
            group.changes.seen(now, newC);
            if (const auto change = group.next(now)) {
                kinds.push_back(change->kind);
                group.apply(*change);
                CPPUNIT_ASSERT(std::count(group.members.voters.begin(), group.members.voters.end(), a) == 1);
                CPPUNIT_ASSERT(std::count(group.members.voters.begin(), group.members.voters.end(), b) == 1);
                // With four voters, of which one is gone for good, a second loss of the new disk leaves no majority.
                CPPUNIT_ASSERT(group.members.voters.size() <= 3);
            }
        }
        CPPUNIT_ASSERT((kinds
                        == std::vector{MembershipChange::Kind::Remove, MembershipChange::Kind::AddLearner,
                                       MembershipChange::Kind::Promote}));
        CPPUNIT_ASSERT((group.members.voters == std::vector{a, b, newC}));
    }

    void secondLossOfTheSameDisk()
    {
        Group group;
        group.members = {{a, b, c}, {newC}};
        group.silent = {c, newC};
        const InstanceId newest{"10.0.0.3~2f"};
        for (auto now = start; now < start + 10s; now += 500ms) {
            group.changes.seen(now, b);
            group.changes.seen(now, newest);
            if (const auto change = group.next(now))
                group.apply(*change);
        }
        CPPUNIT_ASSERT((group.members.voters == std::vector{a, b, newest}));
        CPPUNIT_ASSERT(group.members.learners.empty());
    }

    // A voter that was gone for good kept its vote for 20 s, in which the loss of one more left no majority.
    void spareTakesTheVoteOfOneThatIsGone()
    {
        Group group;
        group.silent = {c};
        for (auto now = start; now < start + catchUpLimit; now += changeInterval) {
            group.changes.seen(now, b);
            group.changes.seen(now, d);
            if (const auto change = group.next(now))
                group.apply(*change);
            CPPUNIT_ASSERT(group.members.voters.size() <= 3);
        }
        CPPUNIT_ASSERT((group.members.voters == std::vector{a, b, d}));
    }

    // A voter that was only cut off lost its vote before the spare had one, and the next lost disk left no majority.
    void spareThatWasThereVotesBeforeTheSilentVoterLeaves()
    {
        Group group;
        group.members = {{a, b, c}, {d}};
        group.silent = {c};
        for (auto now = start; now < start + catchUpLimit; now += changeInterval) {
            group.changes.seen(now, b);
            group.changes.seen(now, d);
            if (const auto change = group.next(now))
                group.apply(*change);
            CPPUNIT_ASSERT(group.members.voters.size() >= 3);
        }
        CPPUNIT_ASSERT((group.members.voters == std::vector{a, b, d}));
    }

    // The last announcement of a voter that was gone made it a learner again, which never answered.
    void removedVoterStaysAwayUntilItComesBack()
    {
        Group group;
        group.members = {{a, b, c}, {d}};
        group.silent = {c};
        group.changes.seen(start - 100ms, c);
        for (auto now = start; now < start + 2s; now += changeInterval) {
            if (const auto change = group.next(now))
                group.apply(*change);
        }
        CPPUNIT_ASSERT((group.members.voters == std::vector{a, b, d}));
        CPPUNIT_ASSERT(group.members.learners.empty());
        group.changes.seen(start + 3s, c);
        const auto change = group.next(start + 3s);
        CPPUNIT_ASSERT(change && change->kind == MembershipChange::Kind::AddLearner && change->instance == c);
    }

    // A vote moved to an instance without the log leaves fewer copies of what was accepted.
    void spareThatLagsTakesNoVote()
    {
        Group group;
        group.members = {{a, b, c}, {d}};
        group.silent = {c};
        group.commitIndex = 1000;
        for (auto now = start; now < start + 20s; now += changeInterval) {
            group.changes.seen(now, b);
            group.changes.seen(now, d);
            CPPUNIT_ASSERT(!group.next(now));
        }
    }

    // A new leader removed voters that it had not heard of yet.
    void newLeaderWaitsBeforeItRemovesVoters()
    {
        Group group;
        group.members = {{a, b, c}, {d}};
        group.silent = {c};
        group.ledSince = start;
        for (auto now = start; now <= start + silenceLimit; now += changeInterval) {
            group.changes.seen(now, b);
            group.changes.seen(now, d);
            CPPUNIT_ASSERT(!group.next(now));
        }
    }

    // A new leader removed two voters of five that it had not heard of yet; two lost disks then left no majority.
    void newLeaderMovesNoMoreVotesThanThereAreSuccessors()
    {
        Group group;
        group.changes = MemberChanges(5, silenceLimit);
        group.members = {{a, b, c, d, e}, {f}};
        group.silent = {d, e};
        group.ledSince = start;
        for (auto now = start; now < start + 20s; now += changeInterval) {
            group.changes.seen(now, b);
            group.changes.seen(now, c);
            group.changes.seen(now, f);
            if (const auto change = group.next(now))
                group.apply(*change);
            CPPUNIT_ASSERT(group.members.voters.size() >= 5);
        }
        CPPUNIT_ASSERT((group.members.voters == std::vector{a, b, c, e, f}));
    }

    // Without tolerated losses, a voter of three that was silent for a second was removed without a successor.
    void silentVoterStaysInALargerGroupThanWanted()
    {
        Group group;
        group.changes = MemberChanges(1, silenceLimit);
        group.silent = {c};
        for (auto now = start; now < start + 20s; now += changeInterval)
            CPPUNIT_ASSERT(!group.next(now));
    }

    // The last announcement of the process that lost its disk made it a member again.
    void supersededInstanceDoesNotJoinAgain()
    {
        Group group;
        group.silent = {c};
        group.changes.seen(start - 100ms, c);
        group.changes.seen(start, newC);
        for (auto now = start; now < start + 2s; now += changeInterval) {
            if (const auto change = group.next(now))
                group.apply(*change);
        }
        CPPUNIT_ASSERT((group.members.voters == std::vector{a, b, newC}));
        CPPUNIT_ASSERT(group.members.learners.empty());
    }

    // An announcement from before the loss of the disk, which arrives late, kept the new instance outside.
    void lateAnnouncementOfALostDisk()
    {
        for (Duration late{}; late < 3s; late += 100ms) {
            Group group;
            group.silent = {c};
            for (Duration passed{}; passed < catchUpLimit; passed += 100ms) {
                const auto now = start + passed;
                if (passed % 1s == Duration::zero())
                    group.changes.seen(now, newC);
                if (passed == late)
                    group.changes.seen(now, c);
                if (const auto change = group.next(now))
                    group.apply(*change);
            }
            CPPUNIT_ASSERT((group.members.voters == std::vector{a, b, newC}));
            CPPUNIT_ASSERT(group.members.learners.empty());
        }
    }

    // The loss of one more beside a voter that ended as planned left no majority, although the successor was there.
    void leavingVoterGivesItsVoteToItsSuccessor()
    {
        Group group;
        group.members = {{a, b, c}, {d}};
        group.changes.leaves(c);
        group.changes.seen(start, d);
        CPPUNIT_ASSERT(
            (group.play(start) == std::vector{MembershipChange::Kind::Promote, MembershipChange::Kind::Remove}));
        CPPUNIT_ASSERT((group.members.voters == std::vector{a, b, d}));
        CPPUNIT_ASSERT(group.members.learners.empty());
    }

    void leavingLeaderGivesItsVoteToItsSuccessor()
    {
        Group group;
        group.members = {{a, b, c}, {d}};
        group.changes.leaves(a);
        group.play(start);
        CPPUNIT_ASSERT((group.members.voters == std::vector{b, c, d}));
    }

    // A restart of one process after another would leave no voter.
    void leavingVoterStaysWithoutASuccessor()
    {
        Group group;
        group.members = {{a, b, c}, {d}};
        group.silent = {d};
        group.changes.leaves(c);
        group.changes.leaves(d);
        CPPUNIT_ASSERT(group.play(start).empty());
    }

    void restartedVoterLeavesNoMore()
    {
        Group group;
        group.members = {{a, b, c}, {d}};
        group.changes.leaves(c);
        group.changes.seen(start, c);
        CPPUNIT_ASSERT(group.play(start).empty());
    }

    // Removing it would lower the number of losses that the group bears.
    void silentVoterStaysWithoutASpare()
    {
        Group group;
        group.silent = {c};
        group.changes.seen(start, b);
        CPPUNIT_ASSERT(!group.next(start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberChangesTest);
