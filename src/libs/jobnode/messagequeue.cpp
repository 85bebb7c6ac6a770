#include "jobnode/messagequeue.h"

#include <utility>

namespace Pistachio::Jobnode
{

namespace
{
/// Batches that fit into one frame of HTTP/2 together keep their order.
constexpr std::size_t oneFrameBytes = 12U << 10;
constexpr std::size_t maxWaitingBytes = 8U << 20;
} // namespace

void MessageQueue::add(Replication::Message message)
{
    const auto size = Replication::encodedSize(message);
    if (waitingBytes_ + size > maxWaitingBytes)
        return;
    waitingBytes_ += size;
    waiting_.push_back(std::move(message));
}

std::string MessageQueue::takeBatch()
{
    if (waiting_.empty() || (underWayBytes_ > 0 && underWayBytes_ + waitingBytes_ > oneFrameBytes))
        return {};
    auto batch = Replication::encode(waiting_);
    waiting_.clear();
    waitingBytes_ = 0;
    underWayBytes_ += batch.size();
    return batch;
}

void MessageQueue::finished(std::size_t bytes, bool arrived)
{
    underWayBytes_ -= bytes;
    if (arrived)
        return;
    waiting_.clear();
    waitingBytes_ = 0;
}

} // namespace Pistachio::Jobnode
