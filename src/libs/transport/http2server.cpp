#include "transport/http2server.h"

#include "transport/http2connection.h"

#include <boost/asio/dispatch.hpp>

#include <nghttp2/nghttp2.h>

#include <functional>
#include <set>
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
            limits.receiveTimeout};
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

class Http2Server::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(EventLoop &loop, const Http2ServerLimits &limits, RequestHandler handler)
        : loop_(loop)
        , limits_(limits)
        , handler_(std::move(handler))
    {
    }

    Result<std::uint16_t> listen(const Endpoint &endpoint)
    {
        listener_ = std::make_shared<Internal::Listener>(loop_.context(), [weak = weak_from_this()](auto socket) {
            if (const auto self = weak.lock())
                self->accepted(std::move(socket));
        });
        return listener_->open(endpoint);
    }

    void stop(Duration limit, std::function<void()> finished)
    {
        if (listener_)
            listener_->close();
        stopping_ = true;
        finished_ = std::move(finished);
        const auto open = connections_;
        for (const auto &connection : open)
            connection->goAway();
        stopTimer_ = loop_.callAfter(limit, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->closeAll();
        });
        reportWhenEmpty();
    }

    void closeAll()
    {
        if (listener_)
            listener_->close();
        const auto open = connections_;
        for (const auto &connection : open)
            connection->close(failure(ErrorCode::Unavailable, "the server has stopped"));
    }

    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

private:
    void accepted(Internal::Tcp::socket socket)
    {
        if (stopping_ || connections_.size() >= limits_.connections)
            return;
        const auto connection = std::make_shared<ServerConnection>(
            loop_.context(), std::move(socket), limits_, handler_,
            [weak = weak_from_this()](const std::shared_ptr<ServerConnection> &closed) {
                if (const auto self = weak.lock()) {
                    self->connections_.erase(closed);
                    self->reportWhenEmpty();
                }
            });
        connections_.insert(connection);
        connection->start();
    }

    void reportWhenEmpty()
    {
        if (!stopping_ || !connections_.empty() || !finished_)
            return;
        stopTimer_.cancel();
        loop_.post(std::exchange(finished_, nullptr));
    }

    EventLoop &loop_;
    const Http2ServerLimits limits_;
    RequestHandler handler_;
    std::shared_ptr<Internal::Listener> listener_;
    std::set<std::shared_ptr<ServerConnection>> connections_;
    std::function<void()> finished_;
    Timer stopTimer_;
    bool stopping_ = false;
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
    return implementation_->connections();
}

} // namespace Pistachio::Transport
