#include "transport/http2callbacks.h"

#include <algorithm>

namespace Pistachio::Transport::Internal
{

namespace
{

bool isInformational(int status)
{
    return status >= 100 && status < 200;
}

} // namespace

int Http2Connection::Callbacks::onBeginHeaders(nghttp2_session * /*session*/, const nghttp2_frame *frame,
                                               void *userData)
{
    if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        self(userData).streams_[frame->hd.stream_id].begun = EventLoop::now();
    return 0;
}

int Http2Connection::Callbacks::onHeader(nghttp2_session * /*session*/, const nghttp2_frame *frame,
                                         const std::uint8_t *name, std::size_t nameSize, const std::uint8_t *value,
                                         std::size_t valueSize, std::uint8_t /*flags*/, void *userData)
{
    return self(userData).headerReceived(frame->hd.stream_id, bytesOf(name, nameSize), bytesOf(value, valueSize));
}

int Http2Connection::Callbacks::onFrame(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *userData)
{
    if (frame->hd.type != NGHTTP2_DATA && frame->hd.type != NGHTTP2_HEADERS)
        return 0;
    auto &connection = self(userData);
    const auto found = connection.streams_.find(frame->hd.stream_id);
    if (found == connection.streams_.end())
        return 0;
    auto &stream = found->second;
    const bool complete = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (!complete && frame->hd.type == NGHTTP2_HEADERS && isInformational(stream.status)) {
        stream.status = 0;
        stream.headers.clear();
    }
    if (!complete || stream.refused || stream.received)
        return 0;
    stream.received = true;
    connection.messageReceived(frame->hd.stream_id, stream);
    return 0;
}

int Http2Connection::Callbacks::onData(nghttp2_session * /*session*/, std::uint8_t /*flags*/, std::int32_t id,
                                       const std::uint8_t *data, std::size_t size, void *userData)
{
    return self(userData).dataReceived(id, bytesOf(data, size));
}

int Http2Connection::Callbacks::onFrameSent(nghttp2_session *session, const nghttp2_frame *frame, void *userData)
{
    auto &connection = self(userData);
    // A response sent before the end of its request frees the stream: the rest of the request is not wanted.
    const bool ended = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (connection.role_ == Role::Server && ended
        && (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS)) {
        const auto found = connection.streams_.find(frame->hd.stream_id);
        if (found != connection.streams_.end() && !found->second.received)
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
    }
    return 0;
}

int Http2Connection::Callbacks::beforeFrameSent(nghttp2_session * /*session*/, const nghttp2_frame *frame,
                                                void *userData)
{
    if (frame->hd.type == NGHTTP2_HEADERS)
        self(userData).headersSent(frame->hd.stream_id);
    return 0;
}

int Http2Connection::Callbacks::onStreamClose(nghttp2_session * /*session*/, std::int32_t id, std::uint32_t code,
                                              void *userData)
{
    self(userData).streamEnded(id, code);
    return 0;
}

ssize_t Http2Connection::Callbacks::readBody(nghttp2_session * /*session*/, std::int32_t /*id*/, std::uint8_t *buffer,
                                             std::size_t size, std::uint32_t *flags, nghttp2_data_source *source,
                                             void *userData)
{
    auto &stream = *static_cast<Stream *>(source->ptr);
    const auto count = std::min(size, stream.outgoing.size() - stream.outgoingSent);
    std::copy_n(stream.outgoing.data() + stream.outgoingSent, count, buffer);
    stream.outgoingSent += count;
    self(userData).unsentBytes_ -= count;
    if (stream.outgoingSent == stream.outgoing.size())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

nghttp2_session *Http2Connection::Callbacks::createSession(Http2Connection *connection)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
    nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, beforeFrameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
    nghttp2_session *session = nullptr;
    if (connection->role_ == Role::Server)
        nghttp2_session_server_new(&session, callbacks, connection);
    else
        nghttp2_session_client_new(&session, callbacks, connection);
    nghttp2_session_callbacks_del(callbacks);
    return session;
}

} // namespace Pistachio::Transport::Internal
