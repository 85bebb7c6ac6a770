#include "membershipcell.h"
#include "secondloss.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Jobnode;

namespace
{

constexpr std::uint64_t seeds = 20;
constexpr std::uint64_t seedsPerLoss = 1; ///< more for a search by hand
constexpr std::uint64_t firstSeed = 1;
constexpr Duration leaveStep = 40ms; ///< twenty of them cover an election
constexpr std::uint64_t chainSeeds = 10;
constexpr Duration lossStep = 5s; ///< 1 s for a search by hand
constexpr Duration lastLoss = 30s;
constexpr Duration replacementDelay = 1s; ///< until the platform starts the successor of a lost instance
constexpr Duration catchUpLimit = 4s; ///< the platform's catchUpS: from then on another instance may be lost
constexpr Duration recoveryLimit = 12s; ///< the platform's recoveryS
constexpr Duration outageLimit = 4s; ///< while no more are lost than tolerated
constexpr int chainLength = 3;
constexpr std::size_t fewVoters = 3;
constexpr std::size_t manyVoters = 5; ///< with two tolerated losses

/// Plays every kind of loss at every time, and prints how many and which failed.
void checkLosses(bool isPlanned, std::size_t voters)
{
    std::uint64_t count = 0;
    std::uint64_t seed = firstSeed;
    std::string problems;
    for (const auto kind : SecondLoss::allKinds()) {
        for (Duration at{}; at <= lastLoss; at += lossStep) {
            if (!SecondLoss::isAllowed(kind, at, isPlanned, voters))
                continue;
            for (std::uint64_t i = 0; i < seedsPerLoss; ++i, ++count) {
                if (const auto problem = SecondLoss(kind, at, isPlanned, seed++, voters).play(); !problem.empty())
                    problems += problem + '\n';
            }
        }
    }
    CPPUNIT_ASSERT_MESSAGE("no losses played", count > 0);
    CPPUNIT_ASSERT_EQUAL(std::string(), problems);
}

void checkAccepted(const std::string &message, MembershipCell &cell)
{
    CPPUNIT_ASSERT_MESSAGE(message, cell.accepts(recoveryLimit));
    cell.cluster.checker.checkAccepted(cell.cluster.leader()->machine->commands);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string(), cell.cluster.checker.summary());
}

/// Replaces as many instances at a time as the group bears, again and again.
void checkChain(std::uint64_t seed, std::size_t voters)
{
    MembershipCell cell(seed, voters);
    const auto message = "seed " + std::to_string(seed);
    CPPUNIT_ASSERT_MESSAGE(message, cell.accepts(recoveryLimit));
    cell.startTraffic();
    for (int round = 0; round < chainLength; ++round) {
        for (std::size_t i = 0; i < voters / 2; ++i)
            cell.lose(cell.randomNode());
        cell.run(replacementDelay);
        for (std::size_t i = 0; i < voters / 2; ++i)
            cell.addSpare();
        cell.run(catchUpLimit);
        const auto where = message + ", round " + std::to_string(round) + ": " + cell.description();
        CPPUNIT_ASSERT_MESSAGE(where, cell.isWhole());
        CPPUNIT_ASSERT_MESSAGE(where, cell.longestOutage() <= outageLimit);
    }
    checkAccepted(message, cell);
}

/// With a spare instance in the group, cuts off as many voters as it bears, and takes the disks of as many others at
/// about the time at which the first ones lose their votes; the cut ones come back.
void checkCutOffVoterAndLostDisk(std::uint64_t seed, std::size_t voters)
{
    constexpr Duration firstWipe = 900ms;
    constexpr Duration wipeStep = 20ms;
    constexpr std::uint64_t wipeSteps = 20;
    constexpr Duration cutLength = 5s;
    MembershipCell cell(seed, voters);
    const auto message = "seed " + std::to_string(seed) + ", voters " + std::to_string(voters);
    CPPUNIT_ASSERT_MESSAGE(message, cell.accepts(recoveryLimit));
    cell.addSpare();
    cell.run(catchUpLimit);
    const auto losses = voters / 2;
    for (std::size_t i = 0; i < losses; ++i)
        cell.cutOff(*cell.cluster.nodes[(seed + i) % voters]);
    cell.run(firstWipe + static_cast<int>(seed % wipeSteps) * wipeStep);
    for (std::size_t i = losses; i < 2 * losses; ++i) {
        auto &wiped = *cell.cluster.nodes[(seed + i) % voters];
        cell.lose(wiped);
        cell.restartEmpty(wiped);
    }
    cell.run(cutLength);
    for (std::size_t i = 0; i < losses; ++i)
        cell.rejoin(*cell.cluster.nodes[(seed + i) % voters]);
    checkAccepted(message, cell);
}

} // namespace

class ReplacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplacementTest);
    CPPUNIT_TEST(secondLossAfterAReplacementLeavesALeader);
    CPPUNIT_TEST(cutOffVoterAndALostDiskLeaveALeader);
    CPPUNIT_TEST(lossAfterAnUnplannedReplacement);
    CPPUNIT_TEST(lossAfterAPlannedReplacement);
    CPPUNIT_TEST(leaderIsLostWhileAVoterLeaves);
    CPPUNIT_TEST(lossInALargerGroup);
    CPPUNIT_TEST(replacementsInARow);
    CPPUNIT_TEST(leaderIsLostBeforeItsLearnerIsCommitted);
    CPPUNIT_TEST(memberFindsTheGroupWithoutSeeds);
    CPPUNIT_TEST_SUITE_END();

public:
    // A voter that was replaced for good kept its vote, so that the loss of one more left no majority.
    void secondLossAfterAReplacementLeavesALeader()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            MembershipCell cell(seed);
            const auto message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, cell.accepts(recoveryLimit));
            cell.lose(*cell.cluster.nodes[seed % 3]);
            cell.run(replacementDelay);
            cell.addSpare();
            cell.run(catchUpLimit);
            cell.lose(*cell.cluster.nodes[(seed + 1) % 3]);
            cell.run(replacementDelay);
            cell.addSpare();
            checkAccepted(message, cell);
        }
    }

    // A vote was taken from an instance that was only cut off before its successor had one, and the next lost disk left
    // no majority although the first instance came back.
    void cutOffVoterAndALostDiskLeaveALeader()
    {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
            for (const std::size_t voters : {fewVoters, manyVoters})
                checkCutOffVoterAndLostDisk(seed, voters);
        }
    }

    // A second loss that the platform allows leaves no leader, loses what was accepted or leaves too few voters.
    void lossAfterAnUnplannedReplacement() { checkLosses(false, fewVoters); }

    // The same, where the old instance ends beside its successor.
    void lossAfterAPlannedReplacement() { checkLosses(true, fewVoters); }

    // Two losses at a time, which a group of five voters bears.
    void lossInALargerGroup()
    {
        checkLosses(false, manyVoters);
        checkLosses(true, manyVoters);
    }

    // Votes stayed with instances that were gone, so that the third replacement left no majority.
    void replacementsInARow()
    {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + chainSeeds; ++seed) {
            checkChain(seed, fewVoters);
            checkChain(seed, manyVoters);
        }
    }

    // The new leader let the voter end with its vote, so that two of three were gone.
    void leaderIsLostWhileAVoterLeaves()
    {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
            MembershipCell cell(seed);
            const auto message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, cell.accepts(recoveryLimit));
            cell.startTraffic();
            cell.addSpare();
            cell.run(catchUpLimit);
            auto &leader = *cell.cluster.leader();
            auto &voter = cell.cluster.node(&leader == &cell.cluster.node(0) ? 1 : 0);
            cell.lose(leader);
            cell.after(leaveStep * static_cast<Duration::rep>(seed), [&] { cell.retire(voter); });
            cell.run(replacementDelay);
            cell.addSpare();
            cell.run(catchUpLimit);
            CPPUNIT_ASSERT_MESSAGE(message + ": " + cell.description(), cell.isWhole());
            CPPUNIT_ASSERT_MESSAGE(message, cell.longestOutage() <= outageLimit);
            checkAccepted(message, cell);
        }
    }

    // The new leader doesn't know of the learner, which must announce itself again.
    void leaderIsLostBeforeItsLearnerIsCommitted()
    {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + chainSeeds; ++seed) {
            MembershipCell cell(seed);
            const auto message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, cell.accepts(recoveryLimit));
            cell.startTraffic();
            cell.addSpare();
            CPPUNIT_ASSERT_MESSAGE(message, cell.runUntil([&] { return cell.openChange().has_value(); }, catchUpLimit));
            cell.lose(*cell.cluster.leader());
            cell.run(catchUpLimit);
            CPPUNIT_ASSERT_MESSAGE(message + ": " + cell.description(), cell.isWhole());
            CPPUNIT_ASSERT_MESSAGE(message, cell.longestOutage() <= outageLimit);
            checkAccepted(message, cell);
        }
    }

    // A member whose seeds are all gone stayed outside the group after its restart.
    void memberFindsTheGroupWithoutSeeds()
    {
        for (std::uint64_t seed = firstSeed; seed < firstSeed + chainSeeds; ++seed) {
            MembershipCell cell(seed);
            const auto message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, cell.accepts(recoveryLimit));
            for (std::size_t i = 0; i < fewVoters; ++i) {
                cell.lose(cell.cluster.node(i));
                cell.addSpare();
                cell.run(catchUpLimit);
            }
            auto &member = cell.cluster.node(fewVoters);
            cell.cluster.crash(member);
            cell.addSpare();
            cell.run(catchUpLimit);
            cell.hasOldSeeds = true;
            cell.cluster.start(member);
            cell.run(catchUpLimit);
            CPPUNIT_ASSERT_MESSAGE(message + ": " + cell.description(), cell.isLearner(member));
            checkAccepted(message, cell);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplacementTest);
