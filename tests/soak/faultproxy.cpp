#include "faultproxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>

namespace Pistachio::Soak
{

namespace asio = boost::asio;
using Transport::EventLoop;

namespace
{

constexpr auto pollInterval = std::chrono::milliseconds(10); ///< of a blocked link
constexpr std::size_t chunkBytes = std::size_t{32} << 10;

asio::awaitable<void> sleepFor(std::chrono::microseconds span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

FaultProxy::FaultProxy(EventLoop &loop)
    : loop_(loop)
{
}

void FaultProxy::add(const std::string &instance, const std::string &advertisedIp, const std::string &localIp,
                     const std::vector<std::uint16_t> &ports)
{
    targets_[instance] = {advertisedIp, localIp, ports, {}};
    instanceAt_[localIp] = instance;
}

Result<void> FaultProxy::setListening(const std::string &instance, bool isListening)
{
    auto &target = targets_.at(instance);
    if (isListening == !target.listeners.empty())
        return success();
    for (const auto &listener : target.listeners)
        listener->close();
    target.listeners.clear();
    if (!isListening)
        return success();
    for (const auto port : target.ports) {
        BOOST_OUTCOME_TRY(const auto endpoint, Transport::Internal::toAsio({target.localIp, port}));
        auto listener = std::make_shared<Transport::Internal::Listener>(
            loop_.context(), [this, instance, endpoint](Tcp::socket socket) {
                boost::system::error_code error;
                const auto sender = socket.remote_endpoint(error).address().to_string();
                const auto found = instanceAt_.find(sender);
                auto connection = std::make_shared<Connection>(
                    Connection{found == instanceAt_.end() ? "outside" : found->second, instance, std::move(socket),
                               Tcp::socket(loop_.context().io)});
                std::erase_if(connections_, [](const auto &item) { return item.expired(); });
                connections_.push_back(connection);
                asio::co_spawn(loop_.context().io, serve(connection, endpoint), asio::detached);
            });
        BOOST_OUTCOME_TRYV(listener->open({target.advertisedIp, port}));
        target.listeners.push_back(listener);
    }
    return success();
}

asio::awaitable<void> FaultProxy::serve(std::shared_ptr<Connection> connection, Tcp::endpoint target)
{
    boost::system::error_code error;
    while (linkOf(connection->caller, connection->called).isBlocked)
        co_await sleepFor(pollInterval);
    co_await connection->far.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        Transport::Internal::closeSocket(connection->near);
        co_return;
    }
    asio::co_spawn(loop_.context().io, pump(connection, true), asio::detached);
    co_await pump(connection, false);
}

asio::awaitable<void> FaultProxy::pump(std::shared_ptr<Connection> connection, bool isForward)
{
    auto &from = isForward ? connection->near : connection->far;
    auto &to = isForward ? connection->far : connection->near;
    const auto &sender = isForward ? connection->caller : connection->called;
    const auto &receiver = isForward ? connection->called : connection->caller;
    std::array<char, chunkBytes> chunk{};
    boost::system::error_code error;
    while (!error) {
        const auto size
            = co_await from.async_read_some(asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
        const auto arrived = EventLoop::now();
        while (linkOf(sender, receiver).isBlocked)
            co_await sleepFor(pollInterval);
        if (const auto left = arrived + linkOf(sender, receiver).delay - EventLoop::now(); left > Duration::zero())
            co_await sleepFor(left);
        if (!error)
            co_await asio::async_write(to, asio::buffer(chunk.data(), size),
                                       asio::redirect_error(asio::use_awaitable, error));
    }
    Transport::Internal::closeSocket(connection->near);
    Transport::Internal::closeSocket(connection->far);
}

FaultProxy::Link FaultProxy::linkOf(const std::string &from, const std::string &to) const
{
    const auto found = links_.find({from, to});
    return found == links_.end() ? Link() : found->second;
}

void FaultProxy::setLink(const std::string &from, const std::string &to, const Link &link)
{
    links_[{from, to}] = link;
}

bool FaultProxy::isOpen(const std::string &one, const std::string &other) const
{
    const auto isFree = [](const Link &link) { return !link.isBlocked && link.delay == Duration::zero(); };
    return isFree(linkOf(one, other)) && isFree(linkOf(other, one));
}

void FaultProxy::reset(const std::string &one, const std::string &other)
{
    for (const auto &item : connections_) {
        const auto connection = item.lock();
        if (!connection)
            continue;
        const std::pair ends(connection->caller, connection->called);
        if (ends != std::pair(one, other) && ends != std::pair(other, one))
            continue;
        Transport::Internal::closeSocket(connection->near);
        Transport::Internal::closeSocket(connection->far);
    }
}

void FaultProxy::heal()
{
    links_.clear();
}

} // namespace Pistachio::Soak
