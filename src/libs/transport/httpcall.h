#pragma once

#include "transport/eventloopcontext.h"
#include "transport/httpclient.h"
#include "transport/httpconnectionpool.h"
#include "transport/httpconversion.h"
#include "transport/memorybudget.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace Pistachio::Transport::Internal
{

/// A call of a client from its start to its completion.
struct HttpCall final : public MemoryBudget::Holder {
    /// \param budget for the response
    /// \param mostBytes of a response
    HttpCall(std::shared_ptr<MemoryBudget> budget, std::size_t mostBytes);

    Endpoint endpoint;
    Http::request<Http::string_body> message;
    CallCompletion completion;
    Duration timeout{};
    TimePoint deadline{};
    Timer timer;
    Timer connectTimer;
    HttpConnectionPointer connection;
    bool written = false;
    TimePoint writtenAt{};
    bool isConnectionNew = false;
    std::size_t interimResponses = 0; ///< before the final one
    bool lacksMemory = false; ///< the response was given up for others
    bool isStarved = false; ///< waits for a connection that another call uses
    std::optional<TimePoint> extendedUntil; ///< the end of all extensions, once the time was up for the first time

    [[nodiscard]] MemoryBudget::Effort effort() const override;

    /// \return whether the response so far may be kept.
    [[nodiscard]] bool holdResponse();

    void complete(CallResult result);
    void fail(ErrorCode code, std::string text);

    /// \return how much longer to wait, as this process and not the peer was late; the time of the call is up.
    [[nodiscard]] Duration extension(TimePoint now);

    /// \return whether a response has arrived that was not read yet.
    [[nodiscard]] bool hasUnreadResponse() const;
    /// \return whether the peer has accepted the connection and nothing was sent yet.
    [[nodiscard]] bool hasAcceptedConnection() const;

protected:
    void relinquish() override;

private:
    const std::size_t mostBytes_;
};

} // namespace Pistachio::Transport::Internal
