#pragma once

#include "core/time.h"
#include "transport/message.h"

#include <cstddef>
#include <memory>

namespace Pistachio::Transport
{

class EventLoop;
class MemoryBudget;

struct HttpClientLimits {
    std::size_t headerBytes = 16U << 10;
    std::size_t trailerBytes = 16U << 10; ///< the fields after a chunked body, which are dropped
    std::size_t chunkLineBytes = 4U << 10; ///< the size of a chunk with its extensions
    std::size_t bodyBytes = 8U << 20;
    std::size_t interimResponses = 16; ///< with status 1xx, before the final one
    std::size_t connections = 1024; ///< open at a time, to all endpoints together
    std::size_t connectionsPerEndpoint = 64;
    std::size_t queuedPerEndpoint = 1024; ///< calls that wait for a connection to one endpoint
    std::size_t queued = 8192; ///< calls that wait for any connection to be closed
    Duration connectTimeout = 1s;
    Duration idleTimeout = 20s; ///< below the server's, so that a reused connection is rarely one that is being closed
    std::shared_ptr<MemoryBudget> memory; ///< for responses, shared with listeners; null: one of its own
};

/// An HTTP/1.1 client with a pool of connections for each endpoint. It never sends a request twice.
///
/// The pools share a bounded number of connections. If a call needs a new one beyond it, the connection that has been
/// idle for longest is closed; if none is idle, the call waits for one. A call that fails because this process lacks
/// connections, descriptors or memory fails with ErrorCode::Capacity, and nothing of it was sent.
class HttpClient
{
public:
    /// \param loop outlives the client
    /// \param limits bounds of the pool and of responses
    HttpClient(EventLoop &loop, const HttpClientLimits &limits);
    /// Fails the calls that are under way.
    ~HttpClient();

    /// To be called on the loop's thread.
    /// \param endpoint the server
    /// \param request what to send
    /// \param timeout from this call to the last byte of the response. If this process is late itself, the peer still
    /// has this time from the sending of the request on, and the whole is at most twice this time and the lateness.
    /// \param completion gets the response or the failure
    void call(const Endpoint &endpoint, Request request, Duration timeout, CallCompletion completion);

    /// \return the number of open connections, idle ones among them.
    [[nodiscard]] std::size_t connections() const;
    /// \return the number of calls that wait for a connection.
    [[nodiscard]] std::size_t waitingCalls() const;

    /// Closes the idle connections to \p endpoint, so that a later call opens a new one.
    void forget(const Endpoint &endpoint);

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace Pistachio::Transport
