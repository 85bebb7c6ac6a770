#include "transport/httpserver.h"

#include "transport/eventloopcontext.h"
#include "transport/httpconversion.h"
#include "transport/serverconnections.h"

#include <boost/asio/dispatch.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Pistachio::Transport
{

namespace
{

using namespace Internal;
using boost::system::error_code;

constexpr int closeAfterResponse = 0;

/// \return the status that tells the client why its request could not be read, or 0 when none can be sent.
int statusOf(const error_code &error)
{
    if (error == Http::error::header_limit)
        return 431;
    if (error == Http::error::body_limit)
        return 413;
    if (error == Http::error::end_of_stream || error == Http::error::partial_message)
        return closeAfterResponse;
    return error.category() == Http::make_error_code(Http::error::bad_method).category() ? 400 : closeAfterResponse;
}

/// One connection: reads a request, has it answered, sends the response, and begins again.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    using Closed = std::function<void(const std::shared_ptr<HttpSession> &)>;

    /// Called when the session begins or ends to wait for a request.
    using IdleObserver = std::function<void(const std::shared_ptr<HttpSession> &, bool isIdle)>;

    HttpSession(EventLoop::Context &context, Tcp::socket socket, const HttpServerLimits &limits,
                const HttpServer::RejectionObserver &rejected, RequestHandler handler, IdleObserver idleChanged,
                Closed closed)
        : context_(context)
        , socket_(std::move(socket))
        , timer_(context.io)
        , limits_(limits)
        , rejected_(rejected)
        , handler_(std::move(handler))
        , idleChanged_(std::move(idleChanged))
        , onClosed_(std::move(closed))
    {
    }

    void start() { awaitRequest(); }

    void refuse()
    {
        stopping_ = true;
        if (rejected_)
            rejected_(503, "too many connections");
        answer(Response{503, {{"Retry-After", "1"}}, "too many connections\n"});
    }

    void stop()
    {
        stopping_ = true;
        // A request that has already arrived counts as in flight.
        if (idle_ && !hasUnreadRequest())
            close();
    }

    void close()
    {
        if (std::exchange(closed_, true))
            return;
        timer_.cancel();
        setIdle(false);
        closeSocket(socket_);
        if (const auto closed = std::exchange(onClosed_, nullptr))
            closed(shared_from_this());
    }

    /// \return whether a request has arrived that was not read yet.
    [[nodiscard]] bool hasUnreadRequest()
    {
        error_code error;
        return socket_.available(error) > 0;
    }

private:
    void setIdle(bool isIdle)
    {
        if (std::exchange(idle_, isIdle) != isIdle)
            idleChanged_(shared_from_this(), isIdle);
    }

    void arm(Duration limit)
    {
        timedOut_ = false;
        timer_.expires_after(limit);
        timer_.async_wait([weak = weak_from_this()](const error_code &error) {
            const auto self = weak.lock();
            if (error || !self || self->closed_)
                return;
            self->timedOut_ = true;
            error_code ignored;
            self->socket_.cancel(ignored);
        });
    }

    void awaitRequest()
    {
        if (buffer_.size() > 0) {
            readRequest();
            return;
        }
        setIdle(true);
        arm(limits_.idleTimeout);
        socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const error_code &error) {
            self->setIdle(false);
            if (error || self->closed_) {
                self->close();
                return;
            }
            self->readRequest();
        });
    }

    void readRequest()
    {
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(limits_.headerBytes));
        parser_->body_limit(limits_.bodyBytes);
        arm(limits_.receiveTimeout);
        Http::async_read_header(socket_, buffer_, *parser_,
                                [self = shared_from_this()](const error_code &error, std::size_t size) {
                                    self->context_.bytesReceived.fetch_add(size, std::memory_order_relaxed);
                                    if (error)
                                        self->readFailed(error);
                                    else
                                        self->headerRead();
                                });
    }

    void headerRead()
    {
        const auto &fields = parser_->get();
        if (toView(fields[Http::field::expect]) != "100-continue" || parser_->is_done()) {
            readBody();
            return;
        }
        auto proceed = std::make_shared<Http::response<Http::empty_body>>(Http::status::continue_, 11);
        Http::async_write(socket_, *proceed,
                          [self = shared_from_this(), proceed](const error_code &error, std::size_t) {
                              if (error)
                                  self->close();
                              else
                                  self->readBody();
                          });
    }

    void readBody()
    {
        Http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](const error_code &error, std::size_t size) {
                             self->context_.bytesReceived.fetch_add(size, std::memory_order_relaxed);
                             if (error)
                                 self->readFailed(error);
                             else
                                 self->handle();
                         });
    }

    void readFailed(const error_code &error)
    {
        const int status = timedOut_ ? 408 : statusOf(error);
        if (closed_ || status == closeAfterResponse) {
            close();
            return;
        }
        keepAlive_ = false;
        headOnly_ = false;
        if (rejected_)
            rejected_(status, error.message());
        answer(Response{
            status, {{"Content-Type", "text/plain"}}, "the request was not accepted: " + error.message() + '\n'});
    }

    void handle()
    {
        timer_.cancel();
        auto message = parser_->release();
        keepAlive_ = message.keep_alive();
        headOnly_ = message.method() == Http::verb::head;
        Request request{std::string(toView(message.method_string())), std::string(toView(message.target())),
                        toHeaders(message), std::move(message.body())};
        handler_(std::move(request), Responder([weak = weak_from_this(), &context = context_](Response response) {
                     if (weak.expired())
                         return;
                     boost::asio::dispatch(context.io, [weak, response = std::move(response)]() mutable {
                         if (const auto self = weak.lock())
                             self->answer(std::move(response));
                     });
                 }));
    }

    void answer(Response response)
    {
        if (closed_)
            return;
        const bool asksToClose = headerValue(response.headers, "Connection") == "close";
        keepAlive_ = keepAlive_ && !stopping_ && !asksToClose;
        auto message = std::make_shared<Http::response<Http::string_body>>();
        message->version(11);
        message->result(static_cast<unsigned>(response.status));
        addHeaders(*message, response.headers);
        message->keep_alive(keepAlive_);
        const bool sendsBody = !headOnly_ && !isBodyless(response.status);
        if (!isBodyless(response.status))
            message->content_length(response.body.size());
        if (sendsBody)
            message->body() = std::move(response.body);
        arm(limits_.sendTimeout);
        Http::async_write(socket_, *message,
                          [self = shared_from_this(), message](const error_code &error, std::size_t size) {
                              self->context_.bytesSent.fetch_add(size, std::memory_order_relaxed);
                              self->answered(error);
                          });
    }

    void answered(const error_code &error)
    {
        timer_.cancel();
        if (closed_ || error) {
            close();
        } else if (keepAlive_ && !stopping_) {
            awaitRequest();
        } else {
            linger();
        }
    }

    // Closing a socket with unread data resets the connection, and the client could lose the response.
    void linger()
    {
        error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        arm(lingerTimeout);
        discard();
    }

    void discard()
    {
        buffer_.consume(buffer_.size());
        socket_.async_read_some(buffer_.prepare(discardBytes),
                                [self = shared_from_this()](const error_code &error, std::size_t) {
                                    if (error || self->closed_)
                                        self->close();
                                    else
                                        self->discard();
                                });
    }

    static constexpr Duration lingerTimeout = 1s;
    static constexpr std::size_t discardBytes = 4096;

    EventLoop::Context &context_;
    Tcp::socket socket_;
    boost::asio::steady_timer timer_;
    const HttpServerLimits &limits_;
    const HttpServer::RejectionObserver &rejected_;
    RequestHandler handler_;
    IdleObserver idleChanged_;
    Closed onClosed_;
    boost::beast::flat_buffer buffer_;
    std::optional<Http::request_parser<Http::string_body>> parser_;
    bool keepAlive_ = false;
    bool headOnly_ = false;
    bool timedOut_ = false;
    bool idle_ = false;
    bool stopping_ = false;
    bool closed_ = false;
};

} // namespace

class HttpServer::Implementation final : public ServerConnections<HttpSession>
{
public:
    Implementation(EventLoop &loop, const HttpServerLimits &limits, RequestHandler handler)
        : ServerConnections(loop)
        , limits_(limits)
        , handler_(std::move(handler))
    {
    }

    void onRejected(RejectionObserver observer) { rejected_ = std::move(observer); }

private:
    void accepted(Tcp::socket socket) override
    {
        if (count() >= limits_.connections)
            closeLongestIdle();
        if (count() >= limits_.connections + limits_.refusals)
            return;
        // The session refers to the limits and the observer, so it keeps this object alive.
        const auto session = std::make_shared<HttpSession>(
            context(), std::move(socket), limits_, rejected_, handler_,
            [this](const std::shared_ptr<HttpSession> &changed, bool isIdle) { idleChanged(changed, isIdle); },
            [self = shared_from_this()](const std::shared_ptr<HttpSession> &closed) { self->remove(closed); });
        add(session);
        if (count() > limits_.connections)
            session->refuse();
        else
            session->start();
    }

    void idleChanged(const std::shared_ptr<HttpSession> &session, bool isIdle)
    {
        if (isIdle) {
            idle_.push_back(session);
            idlePlaces_[session.get()] = std::prev(idle_.end());
            return;
        }
        const auto place = idlePlaces_.extract(session.get());
        if (!place.empty())
            idle_.erase(place.mapped());
    }

    /// A client that returns later opens a new connection; one that is refused now may give up.
    void closeLongestIdle()
    {
        const auto found
            = std::ranges::find_if(idle_, [](const auto &session) { return !session->hasUnreadRequest(); });
        if (found == idle_.end())
            return;
        const auto session = *found;
        session->close();
    }

    const HttpServerLimits limits_;
    RejectionObserver rejected_;
    RequestHandler handler_;
    std::list<std::shared_ptr<HttpSession>> idle_; ///< the one that has been idle for longest first
    std::unordered_map<const HttpSession *, std::list<std::shared_ptr<HttpSession>>::iterator> idlePlaces_;
};

HttpServer::HttpServer(EventLoop &loop, const HttpServerLimits &limits, RequestHandler handler)
    : implementation_(std::make_shared<Implementation>(loop, limits, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    implementation_->closeAll();
}

Result<std::uint16_t> HttpServer::listen(const Endpoint &endpoint)
{
    return implementation_->listen(endpoint);
}

void HttpServer::onRejected(RejectionObserver observer)
{
    implementation_->onRejected(std::move(observer));
}

void HttpServer::stop(Duration limit, std::function<void()> finished)
{
    implementation_->stop(limit, std::move(finished));
}

std::size_t HttpServer::connections() const
{
    return implementation_->count();
}

} // namespace Pistachio::Transport
