#include "transport/eventloop.h"

#include "transport/eventloopcontext.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace Pistachio::Transport
{

namespace
{
constexpr Duration acceptRetryDelay = 100ms;
}

struct Timer::State {
    explicit State(boost::asio::io_context &io)
        : timer(io)
    {
    }

    boost::asio::steady_timer timer;
    std::function<void()> function;
};

Timer::Timer() = default;
Timer::~Timer() = default;
Timer::Timer(Timer &&other) noexcept = default;
Timer &Timer::operator=(Timer &&other) noexcept = default;

void Timer::cancel()
{
    state_.reset();
}

EventLoop::EventLoop()
    : context_(std::make_unique<Context>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    context_->io.run();
}

void EventLoop::runFor(Duration span)
{
    context_->io.restart();
    context_->io.run_for(span);
}

void EventLoop::stop()
{
    context_->io.stop();
}

void EventLoop::post(std::function<void()> function)
{
    boost::asio::post(context_->io, std::move(function));
}

Timer EventLoop::callAfter(Duration delay, std::function<void()> function)
{
    Timer timer;
    timer.state_ = std::make_shared<Timer::State>(context_->io);
    timer.state_->function = std::move(function);
    timer.state_->timer.expires_after(delay);
    // The weak pointer makes a call that is already queued harmless once the timer has been cancelled.
    timer.state_->timer.async_wait([weak = std::weak_ptr(timer.state_)](const boost::system::error_code &error) {
        const auto state = weak.lock();
        if (error || !state)
            return;
        const auto call = std::move(state->function);
        call();
    });
    return timer;
}

void EventLoop::onSignals(std::initializer_list<int> signals, std::function<void(int)> function)
{
    auto set = std::make_unique<boost::asio::signal_set>(context_->io);
    for (const int signal : signals)
        set->add(signal);
    auto *raw = set.get();
    context_->signals.push_back(std::move(set));
    auto wait = std::make_shared<std::function<void()>>();
    // The weak pointer breaks the cycle of a function that holds itself; the handler keeps it alive.
    *wait = [raw, function = std::move(function), weak = std::weak_ptr(wait)] {
        raw->async_wait([function, again = weak.lock()](const boost::system::error_code &error, int number) {
            if (error)
                return;
            function(number);
            (*again)();
        });
    };
    (*wait)();
}

TimePoint EventLoop::now()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

std::uint64_t EventLoop::bytesSent() const
{
    return context_->bytesSent.load(std::memory_order_relaxed);
}

std::uint64_t EventLoop::bytesReceived() const
{
    return context_->bytesReceived.load(std::memory_order_relaxed);
}

namespace Internal
{

Result<Tcp::endpoint> toAsio(const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (error)
        return failure(ErrorCode::InvalidArgument, "not an IP address: " + endpoint.address);
    return Tcp::endpoint(address, endpoint.port);
}

void closeSocket(Tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.shutdown(Tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
}

Listener::Listener(EventLoop::Context &context, Accepted accepted)
    : accepted_(std::move(accepted))
    , acceptor_(context.io)
    , retry_(context.io)
{
}

Result<std::uint16_t> Listener::open(const Endpoint &endpoint)
{
    const auto address = toAsio(endpoint);
    if (!address)
        return address.error();
    boost::system::error_code error;
    acceptor_.open(address.value().protocol(), error);
    if (!error)
        acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind(address.value(), error);
    if (!error)
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return failure(ErrorCode::Io, "can't listen on " + endpoint.toString() + ": " + error.message());
    accept();
    return acceptor_.local_endpoint().port();
}

void Listener::close()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retry_.cancel();
}

// A lack of file descriptors lasts; accepting again at once would occupy the thread.
void Listener::acceptLater()
{
    retry_.expires_after(acceptRetryDelay);
    retry_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->accept();
    });
}

void Listener::accept()
{
    acceptor_.async_accept([self = shared_from_this()](const boost::system::error_code &error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !self->acceptor_.is_open())
            return;
        if (error) {
            self->acceptLater();
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        self->accepted_(std::move(socket));
        self->accept();
    });
}

} // namespace Internal

} // namespace Pistachio::Transport
