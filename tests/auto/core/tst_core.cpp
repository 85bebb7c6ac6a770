#include "core/boundedring.h"
#include "core/random.h"
#include "core/resources.h"
#include "core/result.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace Pistachio;

namespace
{

Result<int> half(int value)
{
    if (value % 2 != 0)
        return failure(ErrorCode::InvalidArgument, "odd");
    return value / 2;
}

} // namespace

class CoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CoreTest);
    CPPUNIT_TEST(resourcesNameTheMissingKind);
    CPPUNIT_TEST(resultCarriesValueOrError);
    CPPUNIT_TEST(randomSequenceIsFixedBySeed);
    CPPUNIT_TEST(fullRingRefuses);
    CPPUNIT_TEST(closedRingDeliversTheRestInOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a placement that checks only some kinds of resources.
    void resourcesNameTheMissingKind()
    {
        const Resources free{4000, 1 << 20, 0};
        CPPUNIT_ASSERT((Resources{4000, 1 << 20, 0}.fitsIn(free)));
        CPPUNIT_ASSERT_EQUAL(std::string("cores"), std::string(Resources{4001, 0, 0}.missingFrom(free)));
        CPPUNIT_ASSERT_EQUAL(std::string("memory"), std::string(Resources{0, (1 << 20) + 1, 0}.missingFrom(free)));
        CPPUNIT_ASSERT_EQUAL(std::string("accelerators"), std::string(Resources{0, 0, 1}.missingFrom(free)));
        CPPUNIT_ASSERT((free - Resources{4001, 0, 0}).isNegative());
    }

    void resultCarriesValueOrError()
    {
        CPPUNIT_ASSERT_EQUAL(2, half(4).value());
        CPPUNIT_ASSERT(half(3).has_error());
        CPPUNIT_ASSERT(half(3).error().code == ErrorCode::InvalidArgument);
    }

    // Guards against decisions that can't be replayed: the values are those of the standard's mt19937_64.
    void randomSequenceIsFixedBySeed()
    {
        RandomSource source(5489);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{14514284786278117030ULL % 1000}, source.below(1000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4620546740167642908ULL % 1000}, source.below(1000));
    }

    // Guards against a queue between threads that grows without limit.
    void fullRingRefuses()
    {
        BoundedRing<int> ring(2);
        CPPUNIT_ASSERT(ring.tryPush(1));
        CPPUNIT_ASSERT(ring.tryPush(2));
        CPPUNIT_ASSERT(!ring.tryPush(3));
        CPPUNIT_ASSERT_EQUAL(1, *ring.tryPop());
        CPPUNIT_ASSERT(ring.tryPush(3));
    }

    // Guards against elements lost at shutdown.
    void closedRingDeliversTheRestInOrder()
    {
        BoundedRing<int> ring(100);
        std::vector<int> received;
        std::thread consumer([&] {
            while (auto value = ring.pop())
                received.push_back(*value);
        });
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT(ring.tryPush(i));
        ring.close();
        consumer.join();
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, received.size());
        for (int i = 0; i < 100; ++i)
            CPPUNIT_ASSERT_EQUAL(i, received[static_cast<std::size_t>(i)]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreTest);
