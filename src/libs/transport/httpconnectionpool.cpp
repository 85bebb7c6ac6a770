#include "transport/httpconnectionpool.h"

#include <sys/socket.h>

#include <cerrno>
#include <iterator>
#include <utility>

namespace Pistachio::Transport::Internal
{

namespace
{
constexpr int expiryChecksPerTimeout = 4; ///< an idle connection stays open for at most a quarter of the timeout more
}

bool HttpConnection::isQuiet()
{
    char byte = 0;
    const auto result = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

HttpConnectionPool::HttpConnectionPool(EventLoop &loop, std::size_t limit, const HttpReaderLimits &responses,
                                       Duration idleTimeout)
    : loop_(loop)
    , limit_(limit)
    , responses_(responses)
    , idleTimeout_(idleTimeout)
{
}

HttpConnectionPointer HttpConnectionPool::takeIdle(const Endpoint &endpoint)
{
    const auto oldest = EventLoop::now() - idleTimeout_;
    auto found = idleByEndpoint_.find(endpoint);
    HttpConnectionPointer usable;
    while (found != idleByEndpoint_.end() && !usable) {
        const auto newest = found->second.back();
        found->second.pop_back();
        auto connection = std::move(newest->connection);
        idle_.erase(newest);
        if (found->second.empty()) {
            idleByEndpoint_.erase(found);
            found = idleByEndpoint_.end();
        }
        if (connection->idleSince > oldest && connection->isQuiet())
            usable = std::move(connection);
        else
            close(connection);
    }
    return usable;
}

HttpConnectionPointer HttpConnectionPool::add()
{
    if (open_ >= limit_)
        closeOldestIdle();
    if (open_ >= limit_)
        return nullptr;
    ++open_;
    return std::make_shared<HttpConnection>(loop_.context().io, responses_);
}

void HttpConnectionPool::putIdle(const Endpoint &endpoint, HttpConnectionPointer connection)
{
    connection->idleSince = EventLoop::now();
    idle_.push_back({endpoint, std::move(connection)});
    idleByEndpoint_[endpoint].push_back(std::prev(idle_.end()));
    scheduleExpiry();
}

void HttpConnectionPool::close(const HttpConnectionPointer &connection)
{
    if (!std::exchange(connection->isOpen, false))
        return;
    closeSocket(connection->socket);
    --open_;
}

void HttpConnectionPool::closeIdle(const Endpoint &endpoint)
{
    const auto found = idleByEndpoint_.find(endpoint);
    if (found == idleByEndpoint_.end())
        return;
    for (const auto idle : found->second) {
        close(idle->connection);
        idle_.erase(idle);
    }
    idleByEndpoint_.erase(found);
}

void HttpConnectionPool::closeAllIdle()
{
    while (!idle_.empty())
        closeOldestIdle();
}

void HttpConnectionPool::closeOldestIdle()
{
    if (idle_.empty())
        return;
    const auto connection = idle_.front().connection;
    const auto found = idleByEndpoint_.find(idle_.front().endpoint);
    found->second.pop_front();
    if (found->second.empty())
        idleByEndpoint_.erase(found);
    idle_.pop_front();
    close(connection);
}

void HttpConnectionPool::closeExpired()
{
    const auto oldest = EventLoop::now() - idleTimeout_;
    while (!idle_.empty() && idle_.front().connection->idleSince <= oldest)
        closeOldestIdle();
    if (!idle_.empty())
        scheduleExpiry();
}

void HttpConnectionPool::scheduleExpiry()
{
    if (std::exchange(expiryScheduled_, true))
        return;
    expiryTimer_ = loop_.callAfter(idleTimeout_ / expiryChecksPerTimeout, [this] {
        expiryScheduled_ = false;
        closeExpired();
    });
}

} // namespace Pistachio::Transport::Internal
