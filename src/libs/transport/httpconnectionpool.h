#pragma once

#include "transport/eventloop.h"
#include "transport/eventloopcontext.h"
#include "transport/httpmessagereader.h"

#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <memory>

namespace Pistachio::Transport::Internal
{

/// A client's connection with the reader that belongs to it.
struct HttpConnection {
    HttpConnection(boost::asio::io_context &io, const HttpReaderLimits &limits)
        : socket(io)
        , reader(limits)
    {
    }

    /// \return whether the peer has neither closed the connection nor sent something unasked.
    [[nodiscard]] bool isQuiet();

    Tcp::socket socket;
    HttpMessageReader<false> reader;
    TimePoint idleSince;
    bool isOpen = true; ///< false once the pool has closed it
};

using HttpConnectionPointer = std::shared_ptr<HttpConnection>;

/// The open connections of a client: how many there are, and which of them are idle.
class HttpConnectionPool
{
public:
    /// \param loop outlives the pool
    /// \param limit the most connections that are open at a time
    /// \param responses bounds of one response
    /// \param idleTimeout idle connections are closed after it
    HttpConnectionPool(EventLoop &loop, std::size_t limit, const HttpReaderLimits &responses, Duration idleTimeout);

    /// \return an idle connection to \p endpoint that still works, or null.
    HttpConnectionPointer takeIdle(const Endpoint &endpoint);
    /// Counts a new connection. At the limit it closes the one that has been idle for longest.
    /// \return the connection, or null if all are in use.
    HttpConnectionPointer add();
    /// Makes a connection that add() or takeIdle() returned idle.
    void putIdle(const Endpoint &endpoint, HttpConnectionPointer connection);
    /// Closes a connection that is in use. Does nothing if it has been closed.
    void close(const HttpConnectionPointer &connection);
    /// Closes the idle connections to \p endpoint.
    void closeIdle(const Endpoint &endpoint);
    void closeAllIdle();

    /// \return the number of open connections.
    [[nodiscard]] std::size_t size() const { return open_; }

private:
    struct Idle {
        Endpoint endpoint;
        HttpConnectionPointer connection;
    };
    using IdleList = std::list<Idle>;

    void closeOldestIdle();
    void closeExpired();
    void scheduleExpiry();

    EventLoop &loop_;
    const std::size_t limit_;
    const HttpReaderLimits responses_;
    const Duration idleTimeout_;
    std::size_t open_ = 0;
    IdleList idle_; ///< the one that has been idle for longest first
    std::map<Endpoint, std::deque<IdleList::iterator>> idleByEndpoint_; ///< in the same order; no empty ones
    Timer expiryTimer_;
    bool expiryScheduled_ = false;
};

} // namespace Pistachio::Transport::Internal
