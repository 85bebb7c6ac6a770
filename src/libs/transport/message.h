#pragma once

#include "core/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 and HTTP/2 over TCP. The public headers hold plain types only; Asio, Beast and nghttp2 stay in the sources.
namespace Pistachio::Transport
{

/// One header field. Names are compared without regard to case; HTTP/2 sends them in lower case.
struct Header {
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/// \param headers the fields to search
/// \param name the field's name in any case
/// \return the value of the first field of that name, or an empty view.
std::string_view headerValue(const Headers &headers, std::string_view name);

/// A request with its complete body. The transport itself adds the fields that frame the body.
struct Request {
    std::string method = "GET";
    std::string target = "/"; ///< path and query
    Headers headers;
    std::string body;
};

/// A response with its complete body.
struct Response {
    int status = 200;
    Headers headers;
    std::string body;
    bool newConnection = false; ///< of a call: as in CallError
};

/// A failed call.
struct CallError {
    Error error;
    /// False only when no byte of the request was handed to the connection, or the peer stated that it did not process
    /// it.
    bool written = true;
    /// Nothing listens at the peer's address.
    bool refused = false;
    /// The request was written to a connection that was opened for it, so that a process may have got it that has begun
    /// since the last call to this peer.
    bool newConnection = false;
};

/// The complete response, or why there is none. A truncated response is an error.
using CallResult = boost::outcome_v2::basic_result<Response, CallError, boost::outcome_v2::policy::terminate>;

/// Called exactly once for each call, on the thread of the event loop.
using CallCompletion = std::function<void(CallResult)>;

/// Answers one request. Copies share the request; the first answer counts. When the last copy is destroyed without an
/// answer, status 500 is sent.
class Responder
{
public:
    using Sender = std::function<void(Response)>;

    Responder() = default;
    /// \param sender sends the response; called at most once
    explicit Responder(Sender sender);

    /// \param response the answer; may be given from any thread, now or later
    void respond(Response response) const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Called on the thread of the event loop.
using RequestHandler = std::function<void(Request, Responder)>;

/// An IP address and a port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
    bool operator<(const Endpoint &other) const;

    /// \param text "<ip>:<port>", IPv6 addresses in brackets
    /// \return the endpoint, or InvalidArgument.
    static Result<Endpoint> parse(std::string_view text);

    /// \return the text that parse() reads.
    [[nodiscard]] std::string toString() const;
};

} // namespace Pistachio::Transport
