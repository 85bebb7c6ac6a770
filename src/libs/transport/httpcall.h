#pragma once

#include "transport/eventloopcontext.h"
#include "transport/httpclient.h"
#include "transport/httpconnectionpool.h"
#include "transport/httpconversion.h"

#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>

namespace Pistachio::Transport::Internal
{

/// A call of a client from its start to its completion.
struct HttpCall {
    Endpoint endpoint;
    Http::request<Http::string_body> message;
    std::optional<Http::response_parser<Http::string_body>> parser;
    CallCompletion completion;
    Duration timeout{};
    TimePoint deadline{};
    Timer timer;
    Timer connectTimer;
    HttpConnectionPointer connection;
    bool written = false;
    TimePoint writtenAt{};
    bool isConnectionNew = false;
    bool isStarved = false; ///< waits for a connection that another call uses
    std::optional<TimePoint> extendedUntil; ///< the end of all extensions, once the time was up for the first time

    void complete(CallResult result);
    void fail(ErrorCode code, std::string text);

    /// \return how much longer to wait, as this process and not the peer was late; the time of the call is up.
    [[nodiscard]] Duration extension(TimePoint now);

    /// \return whether a response has arrived that was not read yet.
    [[nodiscard]] bool hasUnreadResponse() const;
    /// \return whether the peer has accepted the connection and nothing was sent yet.
    [[nodiscard]] bool hasAcceptedConnection() const;
};

} // namespace Pistachio::Transport::Internal
