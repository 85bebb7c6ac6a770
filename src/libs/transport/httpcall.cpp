#include "transport/httpcall.h"

#include <poll.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Transport::Internal
{

namespace
{
constexpr Duration unhandledEventGrace = 50ms; ///< to handle what has already arrived
constexpr Duration toleratedLateness = 10ms; ///< of the loop; beyond it, it may have sent the request late
} // namespace

HttpCall::HttpCall(std::shared_ptr<MemoryBudget> budget, std::size_t mostBytes)
    : Holder(std::move(budget))
    , mostBytes_(mostBytes)
{
}

MemoryBudget::Effort HttpCall::effort() const
{
    const auto received = connection ? connection->reader.receivedBytes() : 0;
    return {MemoryBudget::Activity::Receiving, false, mostBytes_, received, writtenAt};
}

bool HttpCall::holdResponse()
{
    return setHeld(connection->reader.heldBytes()) && !lacksMemory;
}

/// The read that is under way ends without writing to the reader, and the call fails then.
void HttpCall::relinquish()
{
    setHeld(0);
    if (!connection) // complete, and on its way to the caller
        return;
    lacksMemory = true;
    closeSocket(connection->socket);
    connection->reader.discard();
}

void HttpCall::complete(CallResult result)
{
    timer.cancel();
    connectTimer.cancel();
    if (const auto function = std::exchange(completion, nullptr))
        function(std::move(result));
}

void HttpCall::fail(ErrorCode code, std::string text)
{
    CallError error{failure(code, std::move(text)), written};
    error.newConnection = written && isConnectionNew;
    complete(std::move(error));
}

Duration HttpCall::extension(TimePoint now)
{
    if (!connection)
        return Duration::zero();
    const bool isFirst = !extendedUntil;
    if (isFirst)
        extendedUntil = now + timeout;
    const bool isLate = now >= deadline + toleratedLateness;
    if (isLate)
        *extendedUntil += now - deadline;
    const auto most = std::max(*extendedUntil - now, Duration::zero());
    if (hasUnreadResponse() || hasAcceptedConnection())
        return std::min(unhandledEventGrace, most);
    if (!isLate || !written)
        return Duration::zero();
    // What has been read already may wait to be handled.
    const auto shortest = isFirst ? unhandledEventGrace : Duration::zero();
    return std::min(std::max(writtenAt + timeout - now, shortest), most);
}

bool HttpCall::hasUnreadResponse() const
{
    boost::system::error_code error;
    return written && connection->socket.available(error) > 0 && !error;
}

bool HttpCall::hasAcceptedConnection() const
{
    if (written || !connection->socket.is_open())
        return false;
    pollfd descriptor{connection->socket.native_handle(), POLLOUT, 0};
    return ::poll(&descriptor, 1, 0) > 0;
}

} // namespace Pistachio::Transport::Internal
