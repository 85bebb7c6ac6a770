#include "transport/httpserver.h"

#include "transport/eventloopcontext.h"
#include "transport/httpmessagereader.h"
#include "transport/memorybudget.h"
#include "transport/serverconnections.h"

#include <boost/asio/dispatch.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <iterator>
#include <list>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace Pistachio::Transport
{

namespace
{

using namespace Internal;
using boost::system::error_code;

constexpr std::string_view noConnection = "connections";
constexpr std::string_view noMemory = "memory";

using Reader = HttpMessageReader<true>;

struct Refusal {
    int status = 0; ///< 0: none can be sent
    std::string_view reason;
};

/// \return what tells the client why its request could not be read.
Refusal refusalOf(Reader::Cause cause)
{
    switch (cause) {
    case Reader::Cause::Header:
        return {431, "header-bytes"};
    case Reader::Cause::Trailer:
        return {431, "trailer-bytes"};
    case Reader::Cause::ChunkLine:
        return {431, "chunk-line-bytes"};
    case Reader::Cause::Body:
        return {413, "body-bytes"};
    case Reader::Cause::Malformed:
        return {400, {}};
    case Reader::Cause::EndOfStream:
    case Reader::Cause::None:
        break;
    }
    return {};
}

HttpReaderLimits readerLimits(const HttpServerLimits &limits)
{
    return {limits.headerBytes, limits.trailerBytes, limits.chunkLineBytes, limits.bodyBytes, limits.pipelinedBytes};
}

/// One connection: reads a request, has it answered, sends the response, and begins again.
class HttpSession : public std::enable_shared_from_this<HttpSession>, public MemoryBudget::Holder
{
public:
    using Closed = std::function<void(const std::shared_ptr<HttpSession> &)>;

    /// Called when the session begins or ends to wait for a request.
    using IdleObserver = std::function<void(const std::shared_ptr<HttpSession> &, bool isIdle)>;

    HttpSession(EventLoop::Context &context, Tcp::socket socket, const HttpServerLimits &limits,
                const HttpServer::RejectionObserver &rejected, RequestHandler handler, IdleObserver idleChanged,
                Closed closed)
        : Holder(limits.memory)
        , context_(context)
        , socket_(std::move(socket))
        , timer_(context.io)
        , limits_(limits)
        , rejected_(rejected)
        , handler_(std::move(handler))
        , idleChanged_(std::move(idleChanged))
        , onClosed_(std::move(closed))
        , reader_(readerLimits(limits))
    {
    }

    void start() { awaitRequest(); }

    void refuse()
    {
        stopping_ = true;
        notify(503, "connections");
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
        releaseMemory();
        if (const auto closed = std::exchange(onClosed_, nullptr))
            closed(shared_from_this());
    }

    /// Closes the connection in favour of others.
    void closeForOthers(std::string_view reason)
    {
        notify(0, reason);
        close();
    }

    /// \return whether a request has arrived that was not read yet.
    [[nodiscard]] bool hasUnreadRequest()
    {
        error_code error;
        return socket_.available(error) > 0;
    }

    /// \return whether it has been receiving a request since before \p time.
    [[nodiscard]] bool isSlow(TimePoint time) const { return phase_ == Phase::Receiving && since_ < time; }

    [[nodiscard]] MemoryBudget::Effort effort() const override
    {
        using Activity = MemoryBudget::Activity;
        switch (phase_) {
        case Phase::Idle:
        case Phase::Lingering:
            return {Activity::Idle, false, 0, 0, since_};
        case Phase::Receiving:
            return {Activity::Receiving, false, announcedBytes_, reader_.receivedBytes(), since_};
        case Phase::Sending:
            return {Activity::Sending, false, 0, 0, since_};
        case Phase::Handling:
            break;
        }
        return {Activity::Handling, false, 0, 0, since_};
    }

private:
    enum class Phase : std::uint8_t { Idle, Receiving, Handling, Sending, Lingering };

    void enter(Phase phase)
    {
        phase_ = phase;
        since_ = EventLoop::now();
    }

    void notify(int status, std::string_view reason) const
    {
        if (rejected_)
            rejected_(status, reason);
    }

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
        reader_.begin();
        if (reader_.bufferedBytes() > 0) {
            readRequest();
            return;
        }
        reader_.shrink();
        enter(Phase::Idle);
        setHeld(reader_.heldBytes());
        if (closed_)
            return;
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
        enter(Phase::Receiving);
        announcedBytes_ = limits_.bodyBytes;
        arm(std::min(limits_.headerTimeout, limits_.receiveTimeout));
        if (reader_.bufferedBytes() > 0)
            advance();
        else
            receive();
    }

    void receive()
    {
        socket_.async_read_some(reader_.prepare(),
                                [self = shared_from_this()](const error_code &error, std::size_t size) {
                                    self->context_.bytesReceived.fetch_add(size, std::memory_order_relaxed);
                                    self->received(error, size);
                                });
    }

    void received(const error_code &error, std::size_t size)
    {
        if (closed_)
            return;
        if (lacksMemory_) {
            refuseRequest(503, noMemory, "the server is short of memory");
            return;
        }
        if (timedOut_) {
            const bool hasHeader = reader_.hasHeader();
            refuseRequest(408, hasHeader ? "receive-time" : "header-time", "the request did not arrive in time");
            return;
        }
        if (error) {
            close();
            return;
        }
        reader_.commit(size);
        advance();
    }

    void advance()
    {
        auto progress = reader_.advance();
        if (progress == Reader::Progress::HeaderRead) {
            if (!setHeld(reader_.heldBytes()) || lacksMemory_) {
                refuseRequest(503, noMemory, "the server is short of memory");
                return;
            }
            headerRead();
            return;
        }
        proceed(progress);
    }

    void proceed(Reader::Progress progress)
    {
        if (progress == Reader::Progress::Failed) {
            readFailed();
            return;
        }
        // The holder may be the one that gives up its memory.
        if (!setHeld(reader_.heldBytes()) || lacksMemory_) {
            refuseRequest(503, noMemory, "the server is short of memory");
            return;
        }
        if (progress == Reader::Progress::Complete)
            handle();
        else
            receive();
    }

    void headerRead()
    {
        const auto &fields = reader_.parser().get();
        if (const auto length = reader_.parser().content_length())
            announcedBytes_ = static_cast<std::size_t>(*length);
        const auto progress = reader_.advance();
        if (progress == Reader::Progress::NeedsMore)
            arm(limits_.receiveTimeout - std::min(EventLoop::now() - since_, limits_.receiveTimeout));
        if (toView(fields[Http::field::expect]) != "100-continue" || progress != Reader::Progress::NeedsMore) {
            proceed(progress);
            return;
        }
        auto message = std::make_shared<Http::response<Http::empty_body>>(Http::status::continue_, 11);
        Http::async_write(socket_, *message,
                          [self = shared_from_this(), message](const error_code &error, std::size_t) {
                              // The write is cancelled where memory is short or the time is over.
                              if (self->closed_)
                                  return;
                              if (self->lacksMemory_)
                                  self->refuseRequest(503, noMemory, "the server is short of memory");
                              else if (error || self->timedOut_)
                                  self->close();
                              else
                                  self->receive();
                          });
    }

    void readFailed()
    {
        const auto refusal = refusalOf(reader_.cause());
        const auto text = reader_.error().message();
        if (refusal.status == 0)
            close();
        else
            refuseRequest(refusal.status, refusal.reason.empty() ? std::string_view(text) : refusal.reason, text);
    }

    /// Answers a request that was not handed on.
    void refuseRequest(int status, std::string_view reason, const std::string &text)
    {
        releaseMemory();
        keepAlive_ = false;
        headOnly_ = false;
        notify(status, reason);
        Response response{status, {{"Content-Type", "text/plain"}}, "the request was not accepted: " + text + '\n'};
        if (status == 503)
            response.headers.push_back({"Retry-After", "1"});
        answer(std::move(response));
    }

    void handle()
    {
        timer_.cancel();
        enter(Phase::Handling);
        keepAlive_ = reader_.parser().keep_alive();
        auto message = reader_.parser().release();
        headOnly_ = message.method() == Http::verb::head;
        Request request{std::string(toView(message.method_string())), std::string(toView(message.target())),
                        reader_.takeHeaders(), std::move(message.body())};
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
        enter(Phase::Sending);
        setHeld(message->body().size() + reader_.bufferedBytes());
        if (closed_)
            return;
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
        enter(Phase::Lingering);
        releaseMemory();
        error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        arm(lingerTimeout);
        discarded_ = std::make_unique<std::array<char, discardBytes>>();
        discard();
    }

    void discard()
    {
        socket_.async_read_some(boost::asio::buffer(*discarded_),
                                [self = shared_from_this()](const error_code &error, std::size_t) {
                                    if (error || self->closed_ || self->timedOut_)
                                        self->close();
                                    else
                                        self->discard();
                                });
    }

    /// Nothing may be received into the reader's buffer at this time.
    void releaseMemory()
    {
        reader_.discard();
        setHeld(0);
    }

    void relinquish() override
    {
        if (phase_ != Phase::Receiving) {
            closeForOthers(noMemory);
            return;
        }
        // The read that is under way ends without writing to the buffer, and the request is answered then.
        lacksMemory_ = true;
        error_code ignored;
        socket_.cancel(ignored);
        releaseMemory();
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
    Reader reader_;
    std::unique_ptr<std::array<char, discardBytes>> discarded_;
    Phase phase_ = Phase::Idle;
    TimePoint since_; ///< the beginning of the phase
    std::size_t announcedBytes_ = 0;
    bool lacksMemory_ = false; ///< the request was given up for others
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
        , limits_(withMemory(limits))
        , handler_(std::move(handler))
    {
    }

    void onRejected(RejectionObserver observer) { rejected_ = std::move(observer); }

private:
    void accepted(Tcp::socket socket) override
    {
        if (count() >= limits_.connections && !closeLongestIdle())
            closeSlow();
        if (count() >= limits_.connections + limits_.refusals) {
            if (rejected_)
                rejected_(0, noConnection);
            return;
        }
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
    bool closeLongestIdle()
    {
        const auto found
            = std::ranges::find_if(idle_, [](const auto &session) { return !session->hasUnreadRequest(); });
        if (found == idle_.end())
            return false;
        const auto session = *found;
        session->close();
        return true;
    }

    /// Closes the connection that has received least of its request for the longest time.
    void closeSlow()
    {
        const auto now = EventLoop::now();
        std::shared_ptr<HttpSession> slowest;
        for (const auto &session : all()) {
            if (session->isSlow(now - slowAfter)
                && (!slowest || MemoryBudget::doesLess(session->effort(), slowest->effort(), now)))
                slowest = session;
        }
        if (slowest)
            slowest->closeForOthers(noConnection);
    }

    static HttpServerLimits withMemory(HttpServerLimits limits)
    {
        if (!limits.memory)
            limits.memory = MemoryBudget::createDefault(limits.bodyBytes);
        return limits;
    }

    /// An ordinary request arrives within one or two round trips.
    static constexpr Duration slowAfter = 1s;

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
