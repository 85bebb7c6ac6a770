#pragma once

#include "transport/eventloop.h"
#include "transport/message.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Runs the event loop until \p condition holds or a generous limit has passed.
inline bool runUntil(Pistachio::Transport::EventLoop &loop, const std::function<bool()> &condition)
{
    using namespace std::chrono_literals;
    for (int round = 0; round < 5000; ++round) {
        if (condition())
            return true;
        loop.runFor(2ms);
    }
    return false;
}

/// A raw TCP socket, for peers that break the protocol.
class RawSocket
{
public:
    explicit RawSocket(int descriptor = ::socket(AF_INET, SOCK_STREAM, 0))
        : descriptor_(descriptor)
    {
    }
    ~RawSocket() { close(); }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    void connect(std::uint16_t port)
    {
        auto address = loopback(port);
        (void)::connect(descriptor_, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    }

    std::uint16_t listen()
    {
        auto address = loopback(0);
        (void)::bind(descriptor_, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        ::listen(descriptor_, 16);
        ::fcntl(descriptor_, F_SETFL, O_NONBLOCK);
        socklen_t size = sizeof(address);
        ::getsockname(descriptor_, reinterpret_cast<sockaddr *>(&address), &size);
        return ntohs(address.sin_port);
    }

    /// \return the descriptor of a waiting connection, or -1.
    [[nodiscard]] int accept() const { return ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK); }

    void send(std::string_view text) const { ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL); }

    /// Appends what has arrived to \p text. \return whether the peer has closed the connection.
    bool receive(std::string &text) const
    {
        char buffer[65536];
        const auto size = ::recv(descriptor_, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (size > 0)
            text.append(buffer, static_cast<std::size_t>(size));
        return size == 0;
    }

    void close()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
        descriptor_ = -1;
    }

private:
    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    int descriptor_;
};
