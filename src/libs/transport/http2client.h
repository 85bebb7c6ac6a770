#pragma once

#include "core/time.h"
#include "transport/message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Pistachio::Transport
{

class EventLoop;
class MemoryBudget;

struct Http2ClientLimits {
    std::size_t headerBytes = 16U << 10;
    std::size_t bodyBytes = 64U << 20; ///< of one response
    std::size_t queuedCalls = 4096; ///< calls without a response; further ones fail at once, unwritten
    std::size_t queuedBytes = 64U << 20; ///< bodies of those calls
    std::string localIp; ///< where connections leave from; empty: the system chooses
    Duration connectTimeout = 1s;
    Duration reconnectMin = 50ms; ///< doubled with each failure, with jitter
    Duration reconnectMax = 1s;
    Duration silenceBeforePing = 2s; ///< while calls are waiting; 0 sends no pings
    Duration pingTimeout = 2s;
    std::shared_ptr<MemoryBudget> memory; ///< shared with listeners; null: one of its own
};

/// One HTTP/2 connection with prior knowledge to one peer, opened at the first call and opened again after a failure.
/// Calls are sent in order, as concurrent streams. A call that was written is never sent again.
class Http2Client
{
public:
    /// \param loop outlives the client
    /// \param peer the server
    /// \param limits bounds of queues and responses
    /// \param seed of the jitter of reconnects
    Http2Client(EventLoop &loop, Endpoint peer, const Http2ClientLimits &limits, std::uint64_t seed);
    /// Fails the calls that are under way.
    ~Http2Client();

    /// To be called on the loop's thread.
    /// \param request what to send
    /// \param timeout from this call to the last byte of the response
    /// \param completion gets the response or the failure
    void call(Request request, Duration timeout, CallCompletion completion);

    /// \param lost called when the connection ends, whatever ended it
    void onConnectionLost(std::function<void()> lost);

    /// \return the number of calls without a response.
    [[nodiscard]] std::size_t pendingCalls() const;

    [[nodiscard]] const Endpoint &peer() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace Pistachio::Transport
