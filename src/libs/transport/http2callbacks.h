#pragma once

#include "transport/http2connection.h"

#include <nghttp2/nghttp2.h>

namespace Pistachio::Transport::Internal
{

/// The functions that nghttp2 calls; the user data is the connection.
struct Http2Connection::Callbacks {
    /// \return a session of the connection's role that calls the functions below.
    static nghttp2_session *createSession(Http2Connection *connection);

    static int onBeginHeaders(nghttp2_session *session, const nghttp2_frame *frame, void *userData);
    static int onHeader(nghttp2_session *session, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize, std::uint8_t flags,
                        void *userData);
    static int onFrame(nghttp2_session *session, const nghttp2_frame *frame, void *userData);
    static int onData(nghttp2_session *session, std::uint8_t flags, std::int32_t id, const std::uint8_t *data,
                      std::size_t size, void *userData);
    static int onFrameSent(nghttp2_session *session, const nghttp2_frame *frame, void *userData);
    static int beforeFrameSent(nghttp2_session *session, const nghttp2_frame *frame, void *userData);
    static int onStreamClose(nghttp2_session *session, std::int32_t id, std::uint32_t code, void *userData);
    static ssize_t readBody(nghttp2_session *session, std::int32_t id, std::uint8_t *buffer, std::size_t size,
                            std::uint32_t *flags, nghttp2_data_source *source, void *userData);

private:
    static Http2Connection &self(void *userData) { return *static_cast<Http2Connection *>(userData); }
};

/// \return the bytes that nghttp2 passes.
inline std::string_view bytesOf(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

} // namespace Pistachio::Transport::Internal
