#include "replication/schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

using namespace Pistachio;
using namespace Pistachio::Replication;

namespace
{

constexpr std::uint64_t schedulesInCi = 2000;

/// \return the number of schedules; PISTACHIO_SCHEDULES asks for more than CI runs.
std::uint64_t scheduleCount()
{
    const char *asked = std::getenv("PISTACHIO_SCHEDULES");
    return asked ? std::strtoull(asked, nullptr, 10) : schedulesInCi;
}

[[maybe_unused]] void assertSound(const Cluster &cluster)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(cluster.checker.text(), std::size_t{0}, cluster.checker.breaches.size());
}

} // namespace

class ReplicationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicationTest);
    CPPUNIT_TEST(schedulesKeepTheInvariants);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost or changed commits, two leaders in a term, overlapping authority and groups that stay stuck
    // after any mixture of faults.
    void schedulesKeepTheInvariants()
    {
        std::size_t accepted = 0;
        for (std::uint64_t seed = 0; seed < scheduleCount(); ++seed) {
            Schedule schedule(seed);
            schedule.runFaults(8s);
            schedule.settle();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), schedule.breaches());
            accepted += schedule.cluster.acceptedCommands.size();
        }
        // Schedules in which nothing is ever accepted would prove nothing.
        CPPUNIT_ASSERT(accepted > 5 * scheduleCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicationTest);
