#include "transport/http2client.h"

#include "core/random.h"
#include "transport/http2connection.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace Pistachio::Transport
{

namespace
{

/// A call from its start to its completion.
struct PendingCall {
    Request request;
    CallCompletion completion;
    std::size_t size = 0;
    Timer timer;
    bool written = false;
    std::function<void()> released;

    void complete(CallResult result)
    {
        const auto function = std::exchange(completion, nullptr);
        if (!function)
            return;
        timer.cancel();
        released();
        function(std::move(result));
    }

    void fail(const Error &error, bool refused = false) { complete(CallError{error, written, refused}); }
};

using CallPointer = std::shared_ptr<PendingCall>;

Internal::Http2Limits connectionLimits(const Http2ClientLimits &limits)
{
    return {limits.headerBytes, limits.bodyBytes, 0, 0, limits.silenceBeforePing, limits.pingTimeout,
            Duration::zero(),   limits.memory};
}

class ClientConnection final : public Internal::Http2Connection
{
public:
    using Closed = std::function<void(const std::shared_ptr<ClientConnection> &)>;

    ClientConnection(EventLoop::Context &context, Internal::Tcp::socket socket, const Http2ClientLimits &limits,
                     std::string authority, Closed closed)
        : Http2Connection(context, std::move(socket), Role::Client, connectionLimits(limits))
        , authority_(std::move(authority))
        , onClosed_(std::move(closed))
    {
    }

    [[nodiscard]] bool isUsable() const { return canOpenStreams(); }

    void submit(const CallPointer &call)
    {
        const auto id = submitRequest(std::move(call->request), authority_);
        if (!id) {
            call->fail(id.error());
            return;
        }
        calls_[id.value()] = call;
        flush();
    }

    /// \return whether the call was one of this connection.
    bool cancel(const CallPointer &call)
    {
        const auto found
            = std::find_if(calls_.begin(), calls_.end(), [&call](const auto &entry) { return entry.second == call; });
        if (found == calls_.end())
            return false;
        const auto id = found->first;
        calls_.erase(found);
        cancelStream(id, NGHTTP2_CANCEL);
        return true;
    }

protected:
    void messageReceived(std::int32_t id, Stream &stream) override
    {
        if (const auto call = take(id))
            call->complete(Response{stream.status, std::move(stream.headers), std::move(stream.body)});
    }

    void messageRefused(std::int32_t id, int /*status*/) override
    {
        cancelStream(id, NGHTTP2_CANCEL);
        if (const auto call = take(id))
            call->fail(failure(ErrorCode::Unavailable, "the response breaks a limit of this client"));
    }

    void headersSent(std::int32_t id) override
    {
        const auto found = calls_.find(id);
        if (found != calls_.end())
            found->second->written = true;
    }

    void streamClosed(std::int32_t id, std::uint32_t code) override
    {
        const auto call = take(id);
        if (!call)
            return;
        if (code == NGHTTP2_REFUSED_STREAM)
            call->written = false;
        call->fail(
            failure(ErrorCode::Unavailable,
                    std::string("the stream ended without a complete response: ") + nghttp2_http2_strerror(code)));
    }

    void connectionClosed(const Error &reason) override
    {
        const auto self = shared_from_this();
        const auto calls = std::exchange(calls_, {});
        if (const auto closed = std::exchange(onClosed_, nullptr))
            closed(std::static_pointer_cast<ClientConnection>(self));
        for (const auto &[id, call] : calls)
            call->fail(reason);
    }

private:
    CallPointer take(std::int32_t id)
    {
        const auto found = calls_.find(id);
        if (found == calls_.end())
            return nullptr;
        auto call = std::move(found->second);
        calls_.erase(found);
        return call;
    }

    std::string authority_;
    Closed onClosed_;
    std::map<std::int32_t, CallPointer> calls_;
};

} // namespace

class Http2Client::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(EventLoop &loop, Endpoint peer, const Http2ClientLimits &limits, std::uint64_t seed)
        : loop_(loop)
        , peer_(std::move(peer))
        , limits_(limits)
        , random_(seed)
    {
    }

    void call(Request request, Duration timeout, CallCompletion completion)
    {
        auto call = std::make_shared<PendingCall>();
        call->size = request.body.size();
        call->request = std::move(request);
        call->completion = std::move(completion);
        if (pendingCalls_ >= limits_.queuedCalls || pendingBytes_ + call->size > limits_.queuedBytes) {
            call->released = [] {};
            call->fail(failure(ErrorCode::Unavailable, "too many calls wait for " + peer_.toString()));
            return;
        }
        ++pendingCalls_;
        pendingBytes_ += call->size;
        call->released = [weak = weak_from_this(), size = call->size] {
            if (const auto self = weak.lock()) {
                --self->pendingCalls_;
                self->pendingBytes_ -= size;
            }
        };
        call->timer = loop_.callAfter(timeout, [weak = weak_from_this(), weakCall = std::weak_ptr(call)] {
            const auto self = weak.lock();
            const auto late = weakCall.lock();
            if (self && late)
                self->timedOut(late);
        });
        if (current_ && current_->isUsable()) {
            current_->submit(call);
            return;
        }
        current_.reset();
        waiting_.push_back(std::move(call));
        connectWhenAllowed();
    }

    void onConnectionLost(std::function<void()> lost) { onConnectionLost_ = std::move(lost); }

    void close()
    {
        onConnectionLost_ = nullptr;
        const auto error = failure(ErrorCode::Unavailable, "the client was closed");
        const auto open = connections_;
        for (const auto &connection : open)
            connection->close(error);
        current_.reset();
        failWaiting(error);
        if (connectingSocket_)
            Internal::closeSocket(*connectingSocket_);
    }

    [[nodiscard]] std::size_t pendingCalls() const { return pendingCalls_; }
    [[nodiscard]] const Endpoint &peer() const { return peer_; }

private:
    void timedOut(const CallPointer &call)
    {
        const auto error = failure(ErrorCode::Timeout, "no response from " + peer_.toString() + " in time");
        std::erase(waiting_, call);
        const auto open = connections_;
        for (const auto &connection : open) {
            if (connection->cancel(call))
                break;
        }
        call->fail(error);
    }

    void connectWhenAllowed()
    {
        if (connectingSocket_ || backoffActive_)
            return;
        const auto wait = notBefore_ - EventLoop::now();
        if (wait <= Duration::zero()) {
            connect();
            return;
        }
        backoffActive_ = true;
        backoff_ = loop_.callAfter(wait, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self)
                return;
            self->backoffActive_ = false;
            if (!self->waiting_.empty())
                self->connect();
        });
    }

    void connect()
    {
        const auto endpoint = Internal::toAsio(peer_);
        if (!endpoint) {
            failWaiting(endpoint.error());
            return;
        }
        const auto socket = std::make_shared<Internal::Tcp::socket>(loop_.context().io);
        if (const auto bound = bindLocally(*socket); !bound) {
            delayNextConnect();
            failWaiting(bound.error());
            return;
        }
        connectingSocket_ = socket;
        connectTimer_ = loop_.callAfter(limits_.connectTimeout, [socket] { Internal::closeSocket(*socket); });
        socket->async_connect(endpoint.value(), [weak = weak_from_this(), socket](const auto &error) {
            if (const auto self = weak.lock())
                self->connected(*socket, error);
        });
    }

    Result<void> bindLocally(Internal::Tcp::socket &socket) const
    {
        if (limits_.localIp.empty())
            return success();
        BOOST_OUTCOME_TRY(const auto local, Internal::toAsio({limits_.localIp, 0}));
        boost::system::error_code error;
        socket.open(local.protocol(), error);
        if (!error)
            socket.bind(local, error);
        if (error)
            return failure(ErrorCode::Unavailable, "can't leave from " + limits_.localIp + ": " + error.message());
        return success();
    }

    void connected(Internal::Tcp::socket &socket, const boost::system::error_code &error)
    {
        connectTimer_.cancel();
        const auto keep = std::exchange(connectingSocket_, nullptr);
        if (error || !socket.is_open()) {
            delayNextConnect();
            failWaiting(
                failure(ErrorCode::Unavailable, "can't connect to " + peer_.toString() + ": " + error.message()),
                error == boost::asio::error::connection_refused);
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(Internal::Tcp::no_delay(true), ignored);
        current_ = std::make_shared<ClientConnection>(
            loop_.context(), std::move(socket), limits_, peer_.toString(),
            [weak = weak_from_this()](const std::shared_ptr<ClientConnection> &closed) {
                if (const auto self = weak.lock())
                    self->connectionLost(closed);
            });
        connections_.insert(current_);
        const auto connection = current_;
        connection->start();
        const auto waiting = std::exchange(waiting_, {});
        for (const auto &call : waiting) {
            if (connection->isClosed())
                call->fail(failure(ErrorCode::Unavailable, "connection lost"));
            else
                connection->submit(call);
        }
    }

    void connectionLost(const std::shared_ptr<ClientConnection> &connection)
    {
        if (connection->hasReceived())
            failures_ = 0;
        else
            delayNextConnect();
        connections_.erase(connection);
        if (current_ == connection)
            current_.reset();
        if (onConnectionLost_)
            onConnectionLost_();
    }

    void delayNextConnect()
    {
        constexpr int mostDoublings = 16;
        const auto longest
            = std::min(limits_.reconnectMin * (1 << std::min(failures_, mostDoublings)), limits_.reconnectMax);
        ++failures_;
        const auto half = longest / 2;
        notBefore_ = EventLoop::now() + half + Duration(random_.below(static_cast<std::uint64_t>(half.count()) + 1));
    }

    void failWaiting(const Error &error, bool refused = false)
    {
        const auto waiting = std::exchange(waiting_, {});
        for (const auto &call : waiting)
            call->fail(error, refused);
    }

    EventLoop &loop_;
    const Endpoint peer_;
    const Http2ClientLimits limits_;
    RandomSource random_;
    std::deque<CallPointer> waiting_;
    std::set<std::shared_ptr<ClientConnection>> connections_;
    std::shared_ptr<ClientConnection> current_;
    std::shared_ptr<Internal::Tcp::socket> connectingSocket_;
    std::function<void()> onConnectionLost_;
    Timer connectTimer_;
    Timer backoff_;
    TimePoint notBefore_;
    std::size_t pendingCalls_ = 0;
    std::size_t pendingBytes_ = 0;
    int failures_ = 0;
    bool backoffActive_ = false;
};

Http2Client::Http2Client(EventLoop &loop, Endpoint peer, const Http2ClientLimits &limits, std::uint64_t seed)
    : implementation_(std::make_shared<Implementation>(loop, std::move(peer), limits, seed))
{
}

Http2Client::~Http2Client()
{
    implementation_->close();
}

void Http2Client::call(Request request, Duration timeout, CallCompletion completion)
{
    implementation_->call(std::move(request), timeout, std::move(completion));
}

void Http2Client::onConnectionLost(std::function<void()> lost)
{
    implementation_->onConnectionLost(std::move(lost));
}

std::size_t Http2Client::pendingCalls() const
{
    return implementation_->pendingCalls();
}

const Endpoint &Http2Client::peer() const
{
    return implementation_->peer();
}

} // namespace Pistachio::Transport
