#pragma once

#include "core/time.h"
#include "transport/message.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace Pistachio::Transport
{

class EventLoop;
class MemoryBudget;

struct HttpServerLimits {
    std::size_t headerBytes = 16U << 10; ///< the request line and the fields
    std::size_t trailerBytes = 16U << 10; ///< the fields after a chunked body, which are dropped
    std::size_t chunkLineBytes = 4U << 10; ///< the size of a chunk with its extensions
    std::size_t bodyBytes = 8U << 20;
    std::size_t pipelinedBytes = 64U << 10; ///< received at a time on one connection, later requests included
    std::size_t connections = 4096;
    std::size_t refusals = 64; ///< connections beyond the limit that are told so at a time; further ones are closed
    Duration idleTimeout = 30s; ///< for a connection between two requests
    Duration headerTimeout = 10s; ///< from the first byte of a request to the end of its header
    Duration receiveTimeout = 10s; ///< from the first byte of a request to its last
    Duration sendTimeout = 30s; ///< for sending one response
    std::shared_ptr<MemoryBudget> memory; ///< shared with other listeners; null: one of its own
};

/// An HTTP/1.1 server with keep-alive. Requests on one connection are handled one after the other.
///
/// It answers by itself: 400 for what is not HTTP, 408 for a slow sender, 413 and 431 for a body or header above the
/// limit, 503 above the limit of connections if all of them are in use, or when the memory for what clients send is
/// used up. It does so only for requests that it has not handed on. A connection that waits for a request is closed in
/// favour of a new one, and if there is none, one that has been receiving a request for over a second.
class HttpServer
{
public:
    /// \param loop outlives the server
    /// \param limits bounds of one connection
    /// \param handler answers each complete request
    HttpServer(EventLoop &loop, const HttpServerLimits &limits, RequestHandler handler);
    ~HttpServer();

    /// \param endpoint where to listen; port 0 lets the system choose
    /// \return the port, or why the endpoint can't be used.
    Result<std::uint16_t> listen(const Endpoint &endpoint);

    /// Gets the status and the reason of each request that the server answers by itself, on the loop's thread. The
    /// reasons are a fixed set, apart from those with status 400. Status 0: the connection was closed without an
    /// answer.
    using RejectionObserver = std::function<void(int status, std::string_view reason)>;

    /// \param observer set before listen()
    void onRejected(RejectionObserver observer);

    /// Stops accepting, closes idle connections, and lets requests in flight finish, each with "Connection: close".
    /// \param limit after which the remaining connections are closed
    /// \param finished called on the loop's thread once no connection is left
    void stop(Duration limit, std::function<void()> finished);

    /// \return the number of open connections.
    [[nodiscard]] std::size_t connections() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace Pistachio::Transport
