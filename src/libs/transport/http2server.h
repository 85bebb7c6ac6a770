#pragma once

#include "core/time.h"
#include "transport/message.h"

#include <cstddef>
#include <memory>

namespace Pistachio::Transport
{

class EventLoop;
class MemoryBudget;

struct Http2ServerLimits {
    std::size_t headerBytes = 16U << 10;
    std::size_t bodyBytes = 8U << 20;
    std::size_t connections = 4096;
    std::size_t streamsPerConnection = 256;
    std::size_t unsentBytes = 32U << 20; ///< of responses on one connection; the connection is closed above
    Duration silenceBeforePing = 10s; ///< then a ping is sent; 0 sends none
    Duration pingTimeout = 5s;
    Duration receiveTimeout = 10s; ///< from the start of a request to its last byte
    std::shared_ptr<MemoryBudget> memory; ///< shared with other listeners; null: one of its own
};

/// An HTTP/2 server for clients with prior knowledge (no TLS, no upgrade). A response may be given at any time later,
/// as long polls need.
class Http2Server
{
public:
    /// \param loop outlives the server
    /// \param limits bounds of one connection
    /// \param handler answers each complete request
    Http2Server(EventLoop &loop, const Http2ServerLimits &limits, RequestHandler handler);
    ~Http2Server();

    /// \param endpoint where to listen; port 0 lets the system choose
    /// \return the port, or why the endpoint can't be used.
    Result<std::uint16_t> listen(const Endpoint &endpoint);

    /// Stops accepting, tells clients to go away, and lets requests in flight finish.
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
