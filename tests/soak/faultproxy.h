#pragma once

#include "transport/eventloop.h"
#include "transport/eventloopcontext.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Pistachio::Soak
{

/// Stands between the instances: listens at the address that each one advertises, and can hold back, delay or break
/// what goes from one to another. It knows a sender by the address that the connection comes from.
class FaultProxy
{
public:
    /// What happens to bytes in one direction.
    struct Link {
        bool isBlocked = false; ///< nothing arrives until it is open again
        Duration delay{};
    };

    /// \param loop outlives the proxy
    explicit FaultProxy(Transport::EventLoop &loop);

    /// Listens at \p advertisedIp and connects to the same port of \p localIp.
    void add(const std::string &instance, const std::string &advertisedIp, const std::string &localIp,
             const std::vector<std::uint16_t> &ports);

    /// Refuses connections to an instance whose process is gone, and takes them again.
    Result<void> setListening(const std::string &instance, bool isListening);

    void setLink(const std::string &from, const std::string &to, const Link &link);

    /// \return whether nothing is held back or delayed between two instances.
    [[nodiscard]] bool isOpen(const std::string &one, const std::string &other) const;

    /// Breaks the connections between two instances.
    void reset(const std::string &one, const std::string &other);

    /// Opens all links.
    void heal();

private:
    using Tcp = Transport::Internal::Tcp;
    struct Target {
        std::string advertisedIp;
        std::string localIp;
        std::vector<std::uint16_t> ports;
        std::vector<std::shared_ptr<Transport::Internal::Listener>> listeners;
    };
    struct Connection {
        std::string caller;
        std::string called;
        Tcp::socket near;
        Tcp::socket far;
    };

    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection, Tcp::endpoint target);
    boost::asio::awaitable<void> pump(std::shared_ptr<Connection> connection, bool isForward);
    [[nodiscard]] Link linkOf(const std::string &from, const std::string &to) const;

    Transport::EventLoop &loop_;
    std::map<std::string, Target> targets_;
    std::map<std::string, std::string> instanceAt_; ///< by the address that its connections come from
    std::map<std::pair<std::string, std::string>, Link> links_;
    std::vector<std::weak_ptr<Connection>> connections_;
};

} // namespace Pistachio::Soak
