#pragma once

#include "transport/eventloopcontext.h"
#include "transport/memorybudget.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct nghttp2_session;

namespace Pistachio::Transport::Internal
{

struct Http2Limits {
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    std::size_t unsentBytes = 0;
    std::uint32_t streams = 0;
    Duration silenceBeforePing{};
    Duration pingTimeout{};
    Duration receiveTimeout{}; ///< 0: messages may arrive at any pace
    std::shared_ptr<MemoryBudget> memory; ///< null: one of its own
};

/// One HTTP/2 connection of either side: an nghttp2 session on an Asio socket.
class Http2Connection : public std::enable_shared_from_this<Http2Connection>, public MemoryBudget::Holder
{
public:
    enum class Role { Client, Server };

    Http2Connection(EventLoop::Context &context, Tcp::socket socket, Role role, const Http2Limits &limits);
    ~Http2Connection() override;
    Http2Connection(const Http2Connection &) = delete;
    Http2Connection &operator=(const Http2Connection &) = delete;

    /// Sends the settings and begins to read.
    void start();

    /// Closes the socket; the streams end with \p reason.
    void close(const Error &reason);

    /// Tells the peer to open no further streams and closes the connection once the open ones have ended.
    void goAway();

    [[nodiscard]] MemoryBudget::Effort effort() const override;

    /// \return since when no stream is open; TimePoint::max() if one is.
    [[nodiscard]] TimePoint idleSince() const { return streams_.empty() ? streamsEnded_ : TimePoint::max(); }

    [[nodiscard]] bool isClosed() const { return closed_; }
    [[nodiscard]] bool hasReceived() const { return lastReceived_ != TimePoint(); }

protected:
    struct Stream {
        std::string method;
        std::string target;
        int status = 0;
        Headers headers;
        std::string body;
        std::string outgoing;
        std::size_t outgoingSent = 0;
        std::size_t headerSize = 0;
        std::size_t declaredSize = 0;
        std::size_t held = 0; ///< bytes of the incoming message, also after it was handed on
        TimePoint begun;
        bool received = false;
        bool refused = false;
    };

    virtual void messageReceived(std::int32_t id, Stream &stream) = 0;
    /// The incoming message breaks a limit; \p status is the HTTP status that says which.
    virtual void messageRefused(std::int32_t id, int status) = 0;
    virtual void headersSent(std::int32_t /*id*/) { }
    virtual void streamClosed(std::int32_t id, std::uint32_t code) = 0;
    virtual void connectionClosed(const Error &reason) = 0;

    /// \return the stream's identifier, or an error when none can be opened.
    Result<std::int32_t> submitRequest(Request request, const std::string &authority);
    void submitResponse(std::int32_t id, Response response);
    void cancelStream(std::int32_t id, std::uint32_t code);
    void flush();

    [[nodiscard]] bool hasStream(std::int32_t id) const { return streams_.contains(id); }
    [[nodiscard]] std::size_t openStreams() const { return streams_.size(); }
    [[nodiscard]] bool canOpenStreams() const;

private:
    struct Callbacks;
    struct SessionDeleter {
        void operator()(nghttp2_session *session) const;
    };

    void read();
    void receive(std::size_t size);
    void writeNext();
    void scheduleCheck();
    void check();
    int headerReceived(std::int32_t id, std::string_view name, std::string_view value);
    int dataReceived(std::int32_t id, std::string_view data);
    void refuse(std::int32_t id, Stream &stream, int status);
    void hold(std::int32_t id, Stream &stream, std::size_t bytes);
    void updateHeld();
    void relinquish() override;
    void streamEnded(std::int32_t id, std::uint32_t code);

    EventLoop::Context &context_;
    Tcp::socket socket_;
    boost::asio::steady_timer checkTimer_;
    const Role role_;
    const Http2Limits limits_;
    std::unique_ptr<nghttp2_session, SessionDeleter> session_;
    std::map<std::int32_t, Stream> streams_;
    static constexpr std::size_t readBufferBytes = 8U << 10;
    std::array<char, readBufferBytes> readBuffer_{};
    std::string writeBuffer_;
    std::size_t unsentBytes_ = 0;
    std::size_t receivedBytes_ = 0; ///< that the streams hold
    TimePoint lastReceived_;
    TimePoint pingSent_;
    TimePoint started_;
    TimePoint streamsEnded_; ///< when the last stream ended, or the start
    bool receiving_ = false;
    bool writing_ = false;
    bool closed_ = false;
};

} // namespace Pistachio::Transport::Internal
