#include "transport/httpclient.h"

#include "transport/eventloopcontext.h"
#include "transport/httpcall.h"
#include "transport/httpconnectionpool.h"
#include "transport/httpconversion.h"

#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <utility>

namespace Pistachio::Transport
{

namespace
{

using namespace Internal;
using boost::system::error_code;

using CallPointer = std::shared_ptr<HttpCall>;

struct EndpointCalls {
    std::deque<CallPointer> waiting;
    std::list<CallPointer> active; ///< at most as many as connections to the endpoint are allowed

    [[nodiscard]] bool isEmpty() const { return waiting.empty() && active.empty(); }
};

constexpr const char *tooMuchMemory = "the response was given up, since memory is short";

HttpReaderLimits readerLimits(const HttpClientLimits &limits)
{
    return {limits.headerBytes, limits.trailerBytes, limits.chunkLineBytes, limits.bodyBytes};
}

HttpClientLimits withMemory(HttpClientLimits limits)
{
    if (!limits.memory)
        limits.memory = MemoryBudget::createDefault(limits.bodyBytes);
    return limits;
}

/// \return whether this process has run out of something that connections need.
bool isLocalShortage(const error_code &error)
{
    return error == boost::asio::error::no_descriptors || error == boost::asio::error::no_memory
        || error == boost::asio::error::no_buffer_space || error == boost::system::errc::too_many_files_open_in_system
        || error == boost::system::errc::address_not_available;
}

} // namespace

class HttpClient::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(EventLoop &loop, const HttpClientLimits &limits)
        : loop_(loop)
        , limits_(withMemory(limits))
        , connections_(loop, limits.connections, readerLimits(limits), limits.idleTimeout)
    {
    }

    void call(const Endpoint &endpoint, Request request, Duration timeout, CallCompletion completion)
    {
        auto call = std::make_shared<HttpCall>(limits_.memory, limits_.bodyBytes);
        call->endpoint = endpoint;
        call->completion = std::move(completion);
        auto &calls = calls_[endpoint];
        if (calls.waiting.size() >= limits_.queuedPerEndpoint) {
            call->fail(ErrorCode::Capacity, "too many calls wait for " + endpoint.toString());
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
        call->timeout = timeout;
        startTimer(call, timeout);
        if (calls.active.size() >= limits_.connectionsPerEndpoint) {
            calls.waiting.push_back(std::move(call));
            return;
        }
        begin(calls, call);
    }

    void forget(const Endpoint &endpoint)
    {
        connections_.closeIdle(endpoint);
        startStarved();
    }

    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    [[nodiscard]] std::size_t waitingCalls() const { return starved_.size(); }

    void close()
    {
        starved_.clear();
        connections_.closeAllIdle();
        const auto all = std::exchange(calls_, {});
        for (const auto &[endpoint, calls] : all) {
            for (const auto &call : calls.active) {
                if (call->connection)
                    connections_.close(call->connection);
                call->fail(ErrorCode::Unavailable, "the client was closed");
            }
            for (const auto &call : calls.waiting)
                call->fail(ErrorCode::Unavailable, "the client was closed");
        }
    }

private:
    void startTimer(const CallPointer &call, Duration timeout)
    {
        call->deadline = EventLoop::now() + timeout;
        call->timer = loop_.callAfter(timeout, [weak = weak_from_this(), weakCall = std::weak_ptr(call)] {
            const auto self = weak.lock();
            const auto late = weakCall.lock();
            if (self && late)
                self->timedOut(late);
        });
    }

    void begin(EndpointCalls &calls, const CallPointer &call)
    {
        calls.active.push_back(call);
        if (startOnConnection(call))
            return;
        if (starved_.size() >= limits_.queued)
            finish(call, ErrorCode::Capacity, "too many calls wait for a connection");
        else
            starve(call);
    }

    void starve(const CallPointer &call)
    {
        call->isStarved = true;
        starved_.push_back(call);
    }

    /// \return whether there was a connection for the call.
    bool startOnConnection(const CallPointer &call)
    {
        // After a pause of this process a call that has waited may be overdue before its timer was looked at.
        if (EventLoop::now() >= call->deadline) {
            finish(call, ErrorCode::Capacity, "no connection became free in time");
            return true;
        }
        call->connection = connections_.takeIdle(call->endpoint);
        if (call->connection) {
            write(call);
            return true;
        }
        call->isConnectionNew = true;
        call->connection = connections_.add();
        if (call->connection)
            connect(call);
        return call->connection != nullptr;
    }

    /// Gives connections that have become free to the calls that wait for one.
    void startStarved()
    {
        while (!starved_.empty()) {
            const auto call = starved_.front();
            leaveStarved(call);
            if (!startOnConnection(call)) {
                call->isStarved = true;
                starved_.push_front(call);
                return;
            }
        }
    }

    void leaveStarved(const CallPointer &call)
    {
        if (std::exchange(call->isStarved, false))
            std::erase(starved_, call);
    }

    void timedOut(const CallPointer &call)
    {
        const auto more = call->extension(EventLoop::now());
        if (more > Duration::zero())
            startTimer(call, more);
        else if (!call->connection)
            finish(call, ErrorCode::Capacity, "no connection became free in time");
        else
            finish(call, ErrorCode::Timeout, "no response in time");
    }

    void connect(const CallPointer &call)
    {
        const auto connection = call->connection;
        const auto endpoint = toAsio(call->endpoint);
        if (!endpoint) {
            finish(call, endpoint.error().code, endpoint.error().message);
            return;
        }
        call->connectTimer = loop_.callAfter(limits_.connectTimeout, [call] {
            if (!call->hasAcceptedConnection())
                closeSocket(call->connection->socket);
        });
        connection->socket.async_connect(
            endpoint.value(), [self = shared_from_this(), call, connection](const error_code &error) {
                call->connectTimer.cancel();
                if (!call->completion)
                    return;
                if (error) {
                    const auto code = isLocalShortage(error) ? ErrorCode::Capacity : ErrorCode::Unavailable;
                    self->finish(call, code, "can't connect: " + error.message());
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
        call->writtenAt = EventLoop::now();
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
        call->connection->reader.begin();
        call->connection->reader.parser().skip(call->message.method() == Http::verb::head);
        receive(call);
    }

    void receive(const CallPointer &call)
    {
        const auto connection = call->connection;
        connection->socket.async_read_some(
            connection->reader.prepare(),
            [self = shared_from_this(), call, connection](const error_code &error, std::size_t size) {
                self->loop_.context().bytesReceived.fetch_add(size, std::memory_order_relaxed);
                if (call->completion)
                    self->received(call, error, size);
            });
    }

    void received(const CallPointer &call, const error_code &error, std::size_t size)
    {
        using Progress = HttpMessageReader<false>::Progress;
        auto &reader = call->connection->reader;
        if (call->lacksMemory) {
            finish(call, ErrorCode::Unavailable, tooMuchMemory);
            return;
        }
        auto progress = Progress::NeedsMore;
        if (error == boost::asio::error::eof) {
            progress = reader.endOfStream();
        } else if (error) {
            finish(call, ErrorCode::Unavailable, "no complete response: " + error.message());
            return;
        } else {
            reader.commit(size);
            progress = advance(call);
        }
        if (progress == Progress::Failed)
            finish(call, ErrorCode::Unavailable, "no complete response: " + reader.error().message());
        else if (call->interimResponses > limits_.interimResponses)
            finish(call, ErrorCode::Unavailable, "too many interim responses");
        else if (!call->holdResponse())
            finish(call, ErrorCode::Unavailable, tooMuchMemory);
        else if (progress == Progress::NeedsMore)
            receive(call);
        else
            responded(call);
    }

    /// Reads up to the end of the final response.
    HttpMessageReader<false>::Progress advance(const CallPointer &call)
    {
        using Progress = HttpMessageReader<false>::Progress;
        auto &reader = call->connection->reader;
        for (;;) {
            auto progress = reader.advance();
            if (progress == Progress::HeaderRead)
                progress = reader.advance();
            const bool isInterim = progress == Progress::Complete && reader.parser().get().result_int() < 200;
            if (!isInterim || ++call->interimResponses > limits_.interimResponses)
                return progress;
            reader.begin();
            reader.parser().skip(call->message.method() == Http::verb::head);
        }
    }

    void responded(const CallPointer &call)
    {
        auto &reader = call->connection->reader;
        auto &parser = reader.parser();
        const auto status = parser.get().result_int();
        const bool framed = parser.chunked() || parser.content_length().has_value()
            || isBodyless(static_cast<int>(status)) || call->message.method() == Http::verb::head;
        if (!framed) {
            finish(call, ErrorCode::Unavailable, "the response does not declare its length, so it may be truncated");
            return;
        }
        const bool reusable = parser.keep_alive() && reader.bufferedBytes() == 0;
        auto message = parser.release();
        Response response{static_cast<int>(status), reader.takeHeaders(), std::move(message.body())};
        response.newConnection = call->isConnectionNew;
        reader.shrink();
        const auto connection = std::move(call->connection);
        release(call);
        if (reusable)
            connections_.putIdle(call->endpoint, connection);
        else
            connections_.close(connection);
        startWaiting(call->endpoint);
        startStarved();
        call->complete(std::move(response));
    }

    void release(const CallPointer &call)
    {
        leaveStarved(call);
        const auto found = calls_.find(call->endpoint);
        if (found == calls_.end())
            return;
        found->second.active.remove(call);
        std::erase(found->second.waiting, call);
        if (found->second.isEmpty())
            calls_.erase(found);
    }

    void finish(const CallPointer &call, ErrorCode code, const std::string &text)
    {
        if (call->connection)
            connections_.close(call->connection);
        release(call);
        startWaiting(call->endpoint);
        startStarved();
        call->fail(code, call->endpoint.toString() + ": " + text);
    }

    void startWaiting(const Endpoint &endpoint)
    {
        const auto found = calls_.find(endpoint);
        if (found == calls_.end() || found->second.waiting.empty()
            || found->second.active.size() >= limits_.connectionsPerEndpoint)
            return;
        const auto next = std::move(found->second.waiting.front());
        found->second.waiting.pop_front();
        begin(found->second, next);
    }

    EventLoop &loop_;
    const HttpClientLimits limits_;
    HttpConnectionPool connections_;
    std::map<Endpoint, EndpointCalls> calls_; ///< of endpoints with calls
    std::deque<CallPointer> starved_; ///< active calls without a connection, since all are in use
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

std::size_t HttpClient::connections() const
{
    return implementation_->connections();
}

std::size_t HttpClient::waitingCalls() const
{
    return implementation_->waitingCalls();
}

void HttpClient::forget(const Endpoint &endpoint)
{
    implementation_->forget(endpoint);
}

} // namespace Pistachio::Transport
