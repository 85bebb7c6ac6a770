#include "membershipcell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobnode;

namespace
{

constexpr std::uint64_t seeds = 20;
constexpr Duration replacementDelay = 1s; ///< until the platform starts the successor of a lost instance
constexpr Duration catchUpLimit = 4s; ///< the platform's catchUpS: from then on another instance may be lost
constexpr Duration recoveryLimit = 12s; ///< the platform's recoveryS

} // namespace

class ReplacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplacementTest);
    CPPUNIT_TEST(secondLossAfterAReplacementLeavesALeader);
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
            CPPUNIT_ASSERT_MESSAGE(message, cell.accepts(recoveryLimit));
            const auto *leader = cell.cluster.leader();
            cell.cluster.checker.checkAccepted(leader->machine->commands);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string(), cell.cluster.checker.summary());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplacementTest);
