#include "transport/http2server.h"

#include "transport/http2connection.h"
#include "transport/serverconnections.h"

#include <boost/asio/dispatch.hpp>

#include <nghttp2/nghttp2.h>

#include <functional>
#include <utility>

namespace Pistachio::Transport
{

namespace
{

Internal::Http2Limits connectionLimits(const Http2ServerLimits &limits)
{
    return {limits.headerBytes,       limits.bodyBytes,
            limits.unsentBytes,       static_cast<std::uint32_t>(limits.streamsPerConnection),
            limits.silenceBeforePing, limits.pingTimeout,
            limits.receiveTimeout,    limits.memory};
}

class ServerConnection final : public Internal::Http2Connection
{
public:
    using Closed = std::function<void(const std::shared_ptr<ServerConnection> &)>;

    ServerConnection(EventLoop::Context &context, Internal::Tcp::socket socket, const Http2ServerLimits &limits,
                     RequestHandler handler, Closed closed)
        : Http2Connection(context, std::move(socket), Role::Server, connectionLimits(limits))
        , context_(context)
        , handler_(std::move(handler))
        , onClosed_(std::move(closed))
    {
    }

    using Http2Connection::close;
    void close() { close(failure(ErrorCode::Unavailable, "the server has stopped")); }
    void stop() { goAway(); }

protected:
    void messageReceived(std::int32_t id, Stream &stream) override
    {
        Request request{std::move(stream.method), std::move(stream.target), std::move(stream.headers),
                        std::move(stream.body)};
        handler_(std::move(request), Responder([weak = weak_from_this(), id, &context = context_](Response response) {
                     if (weak.expired())
                         return;
                     boost::asio::dispatch(context.io, [weak, id, response = std::move(response)]() mutable {
                         if (const auto self = std::static_pointer_cast<ServerConnection>(weak.lock()))
                             self->submitResponse(id, std::move(response));
                     });
                 }));
    }

    void messageRefused(std::int32_t id, int status) override
    {
        submitResponse(id, Response{status, {}, "the request breaks a limit of this server\n"});
    }

    void streamClosed(std::int32_t /*id*/, std::uint32_t /*code*/) override { }

    void connectionClosed(const Error & /*reason*/) override
    {
        if (const auto closed = std::exchange(onClosed_, nullptr))
            closed(std::static_pointer_cast<ServerConnection>(shared_from_this()));
    }

private:
    EventLoop::Context &context_;
    RequestHandler handler_;
    Closed onClosed_;
};

} // namespace

class Http2Server::Implementation final : public Internal::ServerConnections<ServerConnection>
{
public:
    Implementation(EventLoop &loop, const Http2ServerLimits &limits, RequestHandler handler)
        : ServerConnections(loop)
        , limits_(withMemory(limits))
        , handler_(std::move(handler))
    {
    }

private:
    void accepted(Internal::Tcp::socket socket) override
    {
        if (count() >= limits_.connections)
            closeLongestIdle();
        if (count() >= limits_.connections)
            return;
        const auto connection = std::make_shared<ServerConnection>(
            context(), std::move(socket), limits_, handler_,
            [weak = weak_from_this()](const std::shared_ptr<ServerConnection> &closed) {
                if (const auto self = weak.lock())
                    self->remove(closed);
            });
        add(connection);
        connection->start();
    }

    /// An instance that is in use sends requests more often, and opens a new connection if it was closed.
    void closeLongestIdle()
    {
        std::shared_ptr<ServerConnection> longest;
        for (const auto &connection : all()) {
            if (!longest || connection->idleSince() < longest->idleSince())
                longest = connection;
        }
        if (longest && longest->idleSince() < EventLoop::now() - unusedAfter)
            longest->close();
    }

    static constexpr Duration unusedAfter = 1s;

    static Http2ServerLimits withMemory(Http2ServerLimits limits)
    {
        if (!limits.memory)
            limits.memory = MemoryBudget::createDefault(limits.bodyBytes);
        return limits;
    }

    const Http2ServerLimits limits_;
    RequestHandler handler_;
};

Http2Server::Http2Server(EventLoop &loop, const Http2ServerLimits &limits, RequestHandler handler)
    : implementation_(std::make_shared<Implementation>(loop, limits, std::move(handler)))
{
}

Http2Server::~Http2Server()
{
    implementation_->closeAll();
}

Result<std::uint16_t> Http2Server::listen(const Endpoint &endpoint)
{
    return implementation_->listen(endpoint);
}

void Http2Server::stop(Duration limit, std::function<void()> finished)
{
    implementation_->stop(limit, std::move(finished));
}

std::size_t Http2Server::connections() const
{
    return implementation_->count();
}

} // namespace Pistachio::Transport
