#include "jobnode/messagequeue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobnode;

namespace
{

Replication::Message message(std::size_t bytes)
{
    Replication::Message result;
    result.group = GroupId("jobs");
    result.to = InstanceId("10.0.0.2");
    result.data.assign(bytes, 'x');
    return result;
}

} // namespace

class MessageQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageQueueTest);
    CPPUNIT_TEST(smallMessagesArePipelined);
    CPPUNIT_TEST(nothingOvertakesALargeMessage);
    CPPUNIT_TEST(waitingMessagesShareABatch);
    CPPUNIT_TEST(lossDropsWhatWaits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Waiting for each answer would add a round trip to each commit.
    void smallMessagesArePipelined()
    {
        MessageQueue queue;
        for (int count = 0; count < 5; ++count) {
            queue.add(message(100));
            CPPUNIT_ASSERT(!queue.takeBatch().empty());
        }
    }

    // A member that lost its disk never caught up: small messages overtook the large ones, and each was refused.
    void nothingOvertakesALargeMessage()
    {
        MessageQueue queue;
        queue.add(message(200'000));
        const auto large = queue.takeBatch();
        CPPUNIT_ASSERT(!large.empty());
        queue.add(message(100));
        CPPUNIT_ASSERT(queue.takeBatch().empty());
        queue.finished(large.size(), true);
        CPPUNIT_ASSERT(!queue.takeBatch().empty());
    }

    void waitingMessagesShareABatch()
    {
        MessageQueue queue;
        queue.add(message(200'000));
        const auto large = queue.takeBatch();
        for (int count = 0; count < 3; ++count)
            queue.add(message(100));
        queue.finished(large.size(), true);
        const auto batch = queue.takeBatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Replication::decode(batch).value().messages.size());
        CPPUNIT_ASSERT(queue.takeBatch().empty());
    }

    // Messages that wait for a silent member are old when it answers again.
    void lossDropsWhatWaits()
    {
        MessageQueue queue;
        queue.add(message(200'000));
        const auto large = queue.takeBatch();
        queue.add(message(100));
        queue.finished(large.size(), false);
        CPPUNIT_ASSERT(queue.takeBatch().empty());
        queue.add(message(100));
        CPPUNIT_ASSERT(!queue.takeBatch().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageQueueTest);
