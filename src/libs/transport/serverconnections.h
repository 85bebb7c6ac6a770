#pragma once

#include "transport/eventloopcontext.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace Pistachio::Transport::Internal
{

/// A server's listener and its connections, from the first connection to the end of a planned stop.
template<class Connection> class ServerConnections : public std::enable_shared_from_this<ServerConnections<Connection>>
{
public:
    explicit ServerConnections(EventLoop &loop)
        : loop_(loop)
    {
    }
    ServerConnections(const ServerConnections &) = delete;
    ServerConnections &operator=(const ServerConnections &) = delete;
    virtual ~ServerConnections() = default;

    /// \return the port, or why the endpoint can't be listened on.
    Result<std::uint16_t> listen(const Endpoint &endpoint)
    {
        listener_ = std::make_shared<Listener>(loop_.context(), [weak = this->weak_from_this()](auto socket) {
            const auto self = weak.lock();
            if (self && !self->stopping_)
                self->accepted(std::move(socket));
        });
        return listener_->open(endpoint);
    }

    /// Lets the connections finish what they have begun.
    /// \param limit after which the remaining ones are closed
    /// \param finished called later, when none is left
    void stop(Duration limit, std::function<void()> finished)
    {
        if (listener_)
            listener_->close();
        stopping_ = true;
        finished_ = std::move(finished);
        const auto open = connections_;
        for (const auto &connection : open)
            connection->stop();
        stopTimer_ = loop_.callAfter(limit, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                self->closeAll();
        });
        reportWhenEmpty();
    }

    void closeAll()
    {
        if (listener_)
            listener_->close();
        const auto open = connections_;
        for (const auto &connection : open)
            connection->close();
    }

    /// Forgets a connection that has closed.
    void remove(const std::shared_ptr<Connection> &connection)
    {
        connections_.erase(connection);
        reportWhenEmpty();
    }

    [[nodiscard]] std::size_t count() const { return connections_.size(); }

protected:
    /// Called for each new connection until the server stops.
    virtual void accepted(Tcp::socket socket) = 0;

    EventLoop::Context &context() { return loop_.context(); }
    void add(const std::shared_ptr<Connection> &connection) { connections_.insert(connection); }
    [[nodiscard]] const std::set<std::shared_ptr<Connection>> &all() const { return connections_; }

private:
    void reportWhenEmpty()
    {
        if (!stopping_ || !connections_.empty() || !finished_)
            return;
        stopTimer_.cancel();
        loop_.post(std::exchange(finished_, nullptr));
    }

    EventLoop &loop_;
    std::shared_ptr<Listener> listener_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::function<void()> finished_;
    Timer stopTimer_;
    bool stopping_ = false;
};

} // namespace Pistachio::Transport::Internal
