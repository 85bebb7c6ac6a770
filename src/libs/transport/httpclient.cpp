#include "transport/httpclient.h"

#include "transport/eventloopcontext.h"
#include "transport/httpconversion.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <utility>

namespace Pistachio::Transport
{

namespace
{

using namespace Internal;
using boost::system::error_code;

/// A connection of the pool with the buffer that belongs to it.
struct Connection {
    explicit Connection(boost::asio::io_context &io)
        : socket(io)
    {
    }

    /// \return whether the peer has neither closed the connection nor sent something unasked.
    [[nodiscard]] bool isQuiet()
    {
        char byte = 0;
        const auto result = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    Tcp::socket socket;
    boost::beast::flat_buffer buffer;
    TimePoint idleSince;
};

using ConnectionPointer = std::shared_ptr<Connection>;

/// A call from its start to its completion.
struct HttpCall {
    Endpoint endpoint;
    Http::request<Http::string_body> message;
    std::optional<Http::response_parser<Http::string_body>> parser;
    CallCompletion completion;
    Timer timer;
    Timer connectTimer;
    ConnectionPointer connection;
    bool written = false;

    void complete(CallResult result)
    {
        timer.cancel();
        connectTimer.cancel();
        if (const auto function = std::exchange(completion, nullptr))
            function(std::move(result));
    }

    void fail(ErrorCode code, std::string text) { complete(CallError{failure(code, std::move(text)), written}); }
};

using CallPointer = std::shared_ptr<HttpCall>;

struct Pool {
    std::deque<ConnectionPointer> idle;
    std::deque<CallPointer> waiting;
    std::list<CallPointer> active;
};

} // namespace

class HttpClient::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(EventLoop &loop, const HttpClientLimits &limits)
        : loop_(loop)
        , limits_(limits)
    {
    }

    void call(const Endpoint &endpoint, Request request, Duration timeout, CallCompletion completion)
    {
        auto call = std::make_shared<HttpCall>();
        call->endpoint = endpoint;
        call->completion = std::move(completion);
        auto &pool = pools_[endpoint];
        if (pool.waiting.size() >= limits_.queuedPerEndpoint) {
            call->fail(ErrorCode::Unavailable, "too many calls wait for " + endpoint.toString());
            return;
        }
        call->message.method_string(request.method);
        call->message.target(request.target);
        call->message.version(11);
        addHeaders(call->message, request.headers);
        if (headerValue(request.headers, "Host").empty())
            call->message.set(Http::field::host, endpoint.toString());
        call->message.body() = std::move(request.body);
        call->message.prepare_payload();
        call->timer = loop_.callAfter(timeout, [weak = weak_from_this(), weakCall = std::weak_ptr(call)] {
            const auto self = weak.lock();
            const auto late = weakCall.lock();
            if (self && late)
                self->finish(late, ErrorCode::Timeout, "no response in time");
        });
        if (pool.active.size() >= limits_.connectionsPerEndpoint) {
            pool.waiting.push_back(std::move(call));
            return;
        }
        begin(pool, call);
    }

    void forget(const Endpoint &endpoint)
    {
        const auto found = pools_.find(endpoint);
        if (found != pools_.end())
            found->second.idle.clear();
    }

    void close()
    {
        const auto pools = std::exchange(pools_, {});
        for (const auto &[endpoint, pool] : pools) {
            for (const auto &call : pool.active) {
                if (call->connection)
                    closeSocket(call->connection->socket);
                call->fail(ErrorCode::Unavailable, "the client was closed");
            }
            for (const auto &call : pool.waiting)
                call->fail(ErrorCode::Unavailable, "the client was closed");
        }
    }

private:
    void begin(Pool &pool, const CallPointer &call)
    {
        pool.active.push_back(call);
        const auto oldest = EventLoop::now() - limits_.idleTimeout;
        while (!pool.idle.empty()) {
            call->connection = std::move(pool.idle.back());
            pool.idle.pop_back();
            if (call->connection->idleSince > oldest && call->connection->isQuiet()) {
                write(call);
                return;
            }
        }
        connect(call);
    }

    void connect(const CallPointer &call)
    {
        const auto endpoint = toAsio(call->endpoint);
        if (!endpoint) {
            finish(call, endpoint.error().code, endpoint.error().message);
            return;
        }
        call->connection = std::make_shared<Connection>(loop_.context().io);
        const auto connection = call->connection;
        call->connectTimer = loop_.callAfter(limits_.connectTimeout, [connection] { closeSocket(connection->socket); });
        connection->socket.async_connect(
            endpoint.value(), [self = shared_from_this(), call, connection](const error_code &error) {
                call->connectTimer.cancel();
                if (!call->completion)
                    return;
                if (error) {
                    self->finish(call, ErrorCode::Unavailable, "can't connect: " + error.message());
                    return;
                }
                error_code ignored;
                connection->socket.set_option(Tcp::no_delay(true), ignored);
                self->write(call);
            });
    }

    void write(const CallPointer &call)
    {
        call->written = true;
        const auto connection = call->connection;
        Http::async_write(connection->socket, call->message,
                          [self = shared_from_this(), call, connection](const error_code &error, std::size_t size) {
                              self->loop_.context().bytesSent.fetch_add(size, std::memory_order_relaxed);
                              if (!call->completion)
                                  return;
                              if (error && size == 0) {
                                  call->written = false;
                                  self->finish(call, ErrorCode::Unavailable, "can't send: " + error.message());
                                  return;
                              }
                              // A server may answer and close before it has read the whole request.
                              self->read(call);
                          });
    }

    void read(const CallPointer &call)
    {
        call->parser.emplace();
        call->parser->header_limit(static_cast<std::uint32_t>(limits_.headerBytes));
        call->parser->body_limit(limits_.bodyBytes);
        call->parser->skip(call->message.method() == Http::verb::head);
        const auto connection = call->connection;
        Http::async_read(connection->socket, connection->buffer, *call->parser,
                         [self = shared_from_this(), call, connection](const error_code &error, std::size_t size) {
                             self->loop_.context().bytesReceived.fetch_add(size, std::memory_order_relaxed);
                             if (call->completion)
                                 self->received(call, error);
                         });
    }

    void received(const CallPointer &call, const error_code &error)
    {
        if (error) {
            finish(call, ErrorCode::Unavailable, "no complete response: " + error.message());
            return;
        }
        const auto status = call->parser->get().result_int();
        if (isBodyless(static_cast<int>(status)) && status < 200) {
            read(call);
            return;
        }
        const bool framed = call->parser->chunked() || call->parser->content_length().has_value()
            || isBodyless(static_cast<int>(status)) || call->message.method() == Http::verb::head;
        if (!framed) {
            finish(call, ErrorCode::Unavailable, "the response does not declare its length, so it may be truncated");
            return;
        }
        const bool reusable = call->parser->keep_alive();
        auto message = call->parser->release();
        Response response{static_cast<int>(status), toHeaders(message), std::move(message.body())};
        const auto connection = std::move(call->connection);
        release(call);
        if (reusable && connection->buffer.size() == 0) {
            connection->idleSince = EventLoop::now();
            pools_[call->endpoint].idle.push_back(connection);
        }
        startWaiting(call->endpoint);
        call->complete(std::move(response));
    }

    void release(const CallPointer &call)
    {
        auto &pool = pools_[call->endpoint];
        pool.active.remove(call);
        std::erase(pool.waiting, call);
    }

    void finish(const CallPointer &call, ErrorCode code, const std::string &text)
    {
        if (call->connection)
            closeSocket(call->connection->socket);
        release(call);
        startWaiting(call->endpoint);
        call->fail(code, call->endpoint.toString() + ": " + text);
    }

    void startWaiting(const Endpoint &endpoint)
    {
        auto &pool = pools_[endpoint];
        if (pool.waiting.empty() || pool.active.size() >= limits_.connectionsPerEndpoint)
            return;
        const auto next = std::move(pool.waiting.front());
        pool.waiting.pop_front();
        begin(pool, next);
    }

    EventLoop &loop_;
    const HttpClientLimits limits_;
    std::map<Endpoint, Pool> pools_;
};

HttpClient::HttpClient(EventLoop &loop, const HttpClientLimits &limits)
    : implementation_(std::make_shared<Implementation>(loop, limits))
{
}

HttpClient::~HttpClient()
{
    implementation_->close();
}

void HttpClient::call(const Endpoint &endpoint, Request request, Duration timeout, CallCompletion completion)
{
    implementation_->call(endpoint, std::move(request), timeout, std::move(completion));
}

void HttpClient::forget(const Endpoint &endpoint)
{
    implementation_->forget(endpoint);
}

} // namespace Pistachio::Transport
