#include "jobnode/instanceid.h"
#include "storage/memoryfilesystem.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Jobnode;

namespace
{
const std::vector<std::string> seeds{"10.0.0.3", "10.0.0.1", "10.0.0.2"};
}

class IdentityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdentityTest);
    CPPUNIT_TEST(firstStartAgreesOnTheMembers);
    CPPUNIT_TEST(oddSeedsSplitTheFirstGroup);
    CPPUNIT_TEST(identityOutlivesOtherSeeds);
    CPPUNIT_TEST(emptyDiskGetsANewId);
    CPPUNIT_TEST_SUITE_END();

public:
    // Members that disagree on who the voters are could elect two leaders.
    void firstStartAgreesOnTheMembers()
    {
        Storage::MemoryFileSystem first;
        Storage::MemoryFileSystem second;
        const auto one = loadIdentity(first, "data", "10.0.0.1", seeds, true).value();
        const auto two = loadIdentity(second, "data", "10.0.0.2", {"10.0.0.2", "10.0.0.3", "10.0.0.1"}, true).value();
        CPPUNIT_ASSERT(one.initialMembers == two.initialMembers);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), one.id.value());
    }

    // An instance that left out two of three seeds would lead alone.
    void oddSeedsSplitTheFirstGroup()
    {
        for (std::size_t named = 0; named <= 7; ++named) {
            CPPUNIT_ASSERT(canFoundGroup(named, named));
            for (std::size_t usable = 0; usable < named; ++usable) {
                const auto apart = usable / 2 + 1 + named / 2 + 1 <= named;
                CPPUNIT_ASSERT_EQUAL(usable > 0 && !apart, canFoundGroup(usable, named));
            }
        }
        CPPUNIT_ASSERT(canFoundGroup(2, 3));
        CPPUNIT_ASSERT(!canFoundGroup(1, 3));
        CPPUNIT_ASSERT(!canFoundGroup(0, 1));
    }

    void identityOutlivesOtherSeeds()
    {
        Storage::MemoryFileSystem files;
        const auto before = loadIdentity(files, "data", "10.0.0.1", seeds, true).value();
        const auto after = loadIdentity(files, "data", "10.0.0.1", {"10.0.0.9"}, false).value();
        CPPUNIT_ASSERT(before.id == after.id);
        CPPUNIT_ASSERT(before.initialMembers == after.initialMembers);
    }

    // Under its old id it could vote twice in a term.
    void emptyDiskGetsANewId()
    {
        Storage::MemoryFileSystem files;
        const auto identity = loadIdentity(files, "data", "10.0.0.1", seeds, false).value();
        CPPUNIT_ASSERT(identity.id.value() != "10.0.0.1");
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), std::string(ipOf(identity.id)));
        CPPUNIT_ASSERT(identity.initialMembers.voters.empty());
        const auto again = loadIdentity(files, "data", "10.0.0.1", seeds, false).value();
        CPPUNIT_ASSERT(identity.id == again.id);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdentityTest);
