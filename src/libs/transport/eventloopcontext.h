#pragma once

#include "transport/eventloop.h"
#include "transport/message.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace Pistachio::Transport
{

struct EventLoop::Context {
    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
    std::vector<std::unique_ptr<boost::asio::signal_set>> signals;
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
};

namespace Internal
{

using Tcp = boost::asio::ip::tcp;

/// \param endpoint a numeric address and port
/// \return the Asio endpoint, or InvalidArgument.
Result<Tcp::endpoint> toAsio(const Endpoint &endpoint);

/// Closes \p socket and ignores failures, which leave nothing to do.
void closeSocket(Tcp::socket &socket);

/// Accepts TCP connections until closed.
class Listener : public std::enable_shared_from_this<Listener>
{
public:
    using Accepted = std::function<void(Tcp::socket)>;

    Listener(EventLoop::Context &context, Accepted accepted);

    /// \param endpoint where to listen; port 0 lets the system choose
    /// \return the port, or why the endpoint can't be used.
    Result<std::uint16_t> open(const Endpoint &endpoint);
    void close();

private:
    void accept();
    void acceptLater();

    Accepted accepted_;
    Tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_;
};

} // namespace Internal

} // namespace Pistachio::Transport
