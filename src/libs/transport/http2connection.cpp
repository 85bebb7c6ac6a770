#include "transport/http2connection.h"

#include "transport/http2callbacks.h"
#include "transport/http2fieldlist.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Pistachio::Transport::Internal
{

namespace
{

constexpr std::size_t writeBatchBytes = 64U << 10;
constexpr std::size_t keptBufferBytes = 16U << 10;
constexpr std::uint32_t streamWindowBytes = 1U << 20;
constexpr std::int32_t connectionWindowBytes = 16 << 20;
constexpr Duration shortestCheck = 10ms;
constexpr Duration longestCheck = 1s;

} // namespace

void Http2Connection::SessionDeleter::operator()(nghttp2_session *session) const
{
    nghttp2_session_del(session);
}

Http2Connection::Http2Connection(EventLoop::Context &context, Tcp::socket socket, Role role, const Http2Limits &limits)
    : Holder(limits.memory ? limits.memory : MemoryBudget::createDefault(limits.bodyBytes))
    , context_(context)
    , socket_(std::move(socket))
    , checkTimer_(context.io)
    , role_(role)
    , limits_(limits)
    , session_(Callbacks::createSession(this))
    , started_(EventLoop::now())
    , streamsEnded_(started_)
{
}

Http2Connection::~Http2Connection() = default;

void Http2Connection::start()
{
    const std::array settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.streams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    };
    nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_.get(), NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    flush();
    read();
    scheduleCheck();
}

void Http2Connection::close(const Error &reason)
{
    if (std::exchange(closed_, true))
        return;
    closeSocket(socket_);
    checkTimer_.cancel();
    connectionClosed(reason);
    // The session refers to the streams, and this function may run inside one of its callbacks.
    if (!receiving_ && !writing_)
        streams_.clear();
}

MemoryBudget::Effort Http2Connection::effort() const
{
    using Activity = MemoryBudget::Activity;
    if (role_ == Role::Server && unsentBytes_ > receivedBytes_)
        return {Activity::Sending, true, 0, 0, lastReceived_};
    MemoryBudget::Effort effort{Activity::Handling, true, 0, 0, TimePoint::max()};
    for (const auto &[id, stream] : streams_) {
        if (stream.received || stream.refused || stream.held == 0)
            continue;
        effort.activity = Activity::Receiving;
        effort.announcedBytes += limits_.bodyBytes;
        effort.receivedBytes += stream.body.size();
        effort.since = std::min(effort.since, stream.begun);
    }
    return effort;
}

void Http2Connection::relinquish()
{
    if (effort().activity == MemoryBudget::Activity::Sending) {
        close(failure(ErrorCode::Unavailable, "the peer does not read its responses, and memory is short"));
        return;
    }
    std::vector<std::int32_t> incomplete;
    for (const auto &[id, stream] : streams_) {
        if (!stream.received && !stream.refused && stream.held > 0)
            incomplete.push_back(id);
    }
    for (const auto id : incomplete) {
        const auto found = streams_.find(id);
        if (found != streams_.end() && !found->second.refused)
            refuse(id, found->second, 503);
    }
}

void Http2Connection::hold(std::int32_t id, Stream &stream, std::size_t bytes)
{
    stream.held += bytes;
    receivedBytes_ += bytes;
    // This stream may be among those that give their memory up.
    if (!setHeld(receivedBytes_ + (role_ == Role::Server ? unsentBytes_ : 0)) && !stream.refused)
        refuse(id, stream, 503);
}

void Http2Connection::updateHeld()
{
    setHeld(receivedBytes_ + (role_ == Role::Server ? unsentBytes_ : 0));
}

void Http2Connection::goAway()
{
    if (closed_)
        return;
    const auto last = nghttp2_session_get_last_proc_stream_id(session_.get());
    nghttp2_submit_goaway(session_.get(), NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    flush();
}

bool Http2Connection::canOpenStreams() const
{
    return !closed_ && nghttp2_session_check_request_allowed(session_.get()) != 0;
}

Result<std::int32_t> Http2Connection::submitRequest(Request request, const std::string &authority)
{
    Http2FieldList fields;
    fields.add(":method", request.method);
    fields.add(":scheme", "http");
    fields.add(":path", request.target);
    fields.add(":authority", authority);
    fields.add(request.headers);
    auto views = fields.view();
    // The data provider needs the address of the stream, which is known only once the identifier is.
    Stream stream;
    stream.begun = EventLoop::now();
    stream.outgoing = std::move(request.body);
    const auto expected = static_cast<std::int32_t>(nghttp2_session_get_next_stream_id(session_.get()));
    const auto [position, added] = streams_.emplace(expected, std::move(stream));
    nghttp2_data_provider body{{}, Callbacks::readBody};
    body.source.ptr = &position->second;
    const bool hasBody = !position->second.outgoing.empty();
    const auto id = nghttp2_submit_request(session_.get(), nullptr, views.data(), views.size(),
                                           hasBody ? &body : nullptr, nullptr);
    if (id < 0) {
        streams_.erase(position);
        return failure(ErrorCode::Unavailable, std::string("no stream can be opened: ") + nghttp2_strerror(id));
    }
    unsentBytes_ += position->second.outgoing.size();
    return id;
}

void Http2Connection::submitResponse(std::int32_t id, Response response)
{
    const auto found = streams_.find(id);
    if (closed_ || found == streams_.end())
        return;
    auto &stream = found->second;
    Http2FieldList fields;
    fields.add(":status", std::to_string(response.status));
    fields.add(response.headers);
    auto views = fields.view();
    stream.outgoing = std::move(response.body);
    unsentBytes_ += stream.outgoing.size();
    if (unsentBytes_ > limits_.unsentBytes) {
        close(failure(ErrorCode::Unavailable, "the peer does not read its responses"));
        return;
    }
    updateHeld();
    if (closed_)
        return;
    nghttp2_data_provider body{{}, Callbacks::readBody};
    body.source.ptr = &stream;
    nghttp2_submit_response(session_.get(), id, views.data(), views.size(), stream.outgoing.empty() ? nullptr : &body);
    flush();
}

void Http2Connection::cancelStream(std::int32_t id, std::uint32_t code)
{
    if (closed_)
        return;
    nghttp2_submit_rst_stream(session_.get(), NGHTTP2_FLAG_NONE, id, code);
    flush();
}

int Http2Connection::headerReceived(std::int32_t id, std::string_view name, std::string_view value)
{
    const auto found = streams_.find(id);
    if (found == streams_.end() || found->second.refused)
        return 0;
    auto &stream = found->second;
    constexpr std::size_t overhead = 32; // as RFC 9113 counts a field
    stream.headerSize += name.size() + value.size() + overhead;
    if (stream.headerSize > limits_.headerBytes) {
        refuse(id, stream, 431);
        return 0;
    }
    hold(id, stream, name.size() + value.size() + overhead);
    if (stream.refused)
        return 0;
    if (name == ":method") {
        stream.method = value;
    } else if (name == ":path") {
        stream.target = value;
    } else if (name == ":status") {
        std::from_chars(value.data(), value.data() + value.size(), stream.status);
    } else if (name == ":authority") {
        stream.headers.push_back({"host", std::string(value)});
    } else if (!name.starts_with(':')) {
        stream.headers.push_back({std::string(name), std::string(value)});
    }
    return 0;
}

int Http2Connection::dataReceived(std::int32_t id, std::string_view data)
{
    const auto found = streams_.find(id);
    if (found == streams_.end() || found->second.refused)
        return 0;
    auto &stream = found->second;
    if (stream.body.size() + data.size() > limits_.bodyBytes)
        refuse(id, stream, 413);
    else
        hold(id, stream, data.size());
    if (!stream.refused)
        stream.body += data;
    return 0;
}

void Http2Connection::refuse(std::int32_t id, Stream &stream, int status)
{
    stream.refused = true;
    stream.body = std::string();
    stream.headers = Headers();
    receivedBytes_ -= std::exchange(stream.held, 0);
    updateHeld();
    messageRefused(id, status);
}

void Http2Connection::streamEnded(std::int32_t id, std::uint32_t code)
{
    const auto found = streams_.find(id);
    if (found == streams_.end())
        return;
    unsentBytes_ -= found->second.outgoing.size() - found->second.outgoingSent;
    receivedBytes_ -= found->second.held;
    updateHeld();
    streamClosed(id, code);
    streams_.erase(id);
    if (streams_.empty())
        streamsEnded_ = EventLoop::now();
}

void Http2Connection::read()
{
    socket_.async_read_some(boost::asio::buffer(readBuffer_),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                                if (self->closed_)
                                    return;
                                if (error) {
                                    self->close(failure(ErrorCode::Unavailable, "connection lost: " + error.message()));
                                    return;
                                }
                                self->receive(size);
                            });
}

void Http2Connection::receive(std::size_t size)
{
    context_.bytesReceived.fetch_add(size, std::memory_order_relaxed);
    lastReceived_ = EventLoop::now();
    pingSent_ = TimePoint();
    receiving_ = true;
    const auto consumed
        = nghttp2_session_mem_recv(session_.get(), reinterpret_cast<const std::uint8_t *>(readBuffer_.data()), size);
    receiving_ = false;
    if (closed_)
        return;
    if (consumed < 0) {
        close(failure(ErrorCode::Unavailable,
                      std::string("not HTTP/2: ") + nghttp2_strerror(static_cast<int>(consumed))));
        return;
    }
    flush();
    if (!closed_)
        read();
}

void Http2Connection::flush()
{
    if (writing_ || receiving_ || closed_)
        return;
    writing_ = true;
    writeNext();
}

void Http2Connection::writeNext()
{
    if (writeBuffer_.capacity() > keptBufferBytes)
        writeBuffer_ = std::string();
    writeBuffer_.clear();
    while (writeBuffer_.size() < writeBatchBytes) {
        const std::uint8_t *data = nullptr;
        const auto size = nghttp2_session_mem_send(session_.get(), &data);
        if (closed_ || size <= 0)
            break;
        writeBuffer_ += bytesOf(data, static_cast<std::size_t>(size));
    }
    if (closed_) {
        writing_ = false;
        return;
    }
    if (writeBuffer_.empty()) {
        writing_ = false;
        if (nghttp2_session_want_read(session_.get()) == 0 && nghttp2_session_want_write(session_.get()) == 0)
            close(failure(ErrorCode::Unavailable, "the connection has ended"));
        return;
    }
    boost::asio::async_write(socket_, boost::asio::buffer(writeBuffer_),
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                                 self->context_.bytesSent.fetch_add(size, std::memory_order_relaxed);
                                 if (self->closed_)
                                     return;
                                 if (error) {
                                     self->writing_ = false;
                                     self->close(failure(ErrorCode::Unavailable, "can't send: " + error.message()));
                                     return;
                                 }
                                 self->writeNext();
                             });
}

void Http2Connection::scheduleCheck()
{
    Duration interval = longestCheck;
    for (const auto limit : {limits_.silenceBeforePing, limits_.pingTimeout, limits_.receiveTimeout}) {
        if (limit > Duration::zero())
            interval = std::min(interval, limit / 4);
    }
    checkTimer_.expires_after(std::max(interval, shortestCheck));
    checkTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (error || !self || self->closed_)
            return;
        self->check();
        if (!self->closed_)
            self->scheduleCheck();
    });
}

void Http2Connection::check()
{
    const auto now = EventLoop::now();
    if (pingSent_ != TimePoint() && now - pingSent_ > limits_.pingTimeout) {
        close(failure(ErrorCode::Unavailable, "the peer does not answer pings"));
        return;
    }
    if (limits_.receiveTimeout > Duration::zero()) {
        std::vector<std::int32_t> slow;
        for (const auto &[id, stream] : streams_) {
            if (!stream.received && !stream.refused && now - stream.begun > limits_.receiveTimeout)
                slow.push_back(id);
        }
        for (const auto id : slow) {
            const auto found = streams_.find(id);
            if (found != streams_.end())
                refuse(id, found->second, 408);
        }
    }
    const auto lastHeard = std::max(lastReceived_, started_);
    const bool expectsTraffic = role_ == Role::Server || !streams_.empty();
    if (closed_ || !expectsTraffic || limits_.silenceBeforePing <= Duration::zero() || pingSent_ != TimePoint()
        || now - lastHeard < limits_.silenceBeforePing)
        return;
    nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
    pingSent_ = now;
    flush();
}

} // namespace Pistachio::Transport::Internal
