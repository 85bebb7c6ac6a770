#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>

namespace Pistachio::Transport
{

/// A timer of an event loop; it is cancelled on destruction.
class Timer
{
public:
    Timer();
    ~Timer();
    Timer(Timer &&other) noexcept;
    Timer &operator=(Timer &&other) noexcept;

    /// Cancels the call when it has not begun.
    void cancel();

private:
    friend class EventLoop;
    struct State;
    std::shared_ptr<State> state_;
};

/// Runs the handlers of sockets and timers on one thread.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs handlers on the calling thread until stop(), or not at all after it.
    void run();

    /// Runs handlers until stop() or until \p span has passed.
    void runFor(Duration span);

    /// Makes run() return; may be called from any thread.
    void stop();

    /// \param function run on the loop's thread; may be given from any thread
    void post(std::function<void()> function);

    /// \param delay how long to wait
    /// \param function run on the loop's thread once \p delay has passed
    /// \return the timer; the call is made only while it lives.
    [[nodiscard]] Timer callAfter(Duration delay, std::function<void()> function);

    /// \param signals the signal numbers to take over
    /// \param function run on the loop's thread with the number of each arrived signal
    void onSignals(std::initializer_list<int> signals, std::function<void(int)> function);

    /// \return the time of the steady clock.
    [[nodiscard]] static TimePoint now();

    /// \return the bytes that the sockets of this loop have sent so far; may be read from any thread.
    [[nodiscard]] std::uint64_t bytesSent() const;

    /// \return the bytes that the sockets of this loop have received so far; may be read from any thread.
    [[nodiscard]] std::uint64_t bytesReceived() const;

    /// The Asio objects, defined in a private header.
    struct Context;
    [[nodiscard]] Context &context() { return *context_; }

private:
    std::unique_ptr<Context> context_;
};

} // namespace Pistachio::Transport
