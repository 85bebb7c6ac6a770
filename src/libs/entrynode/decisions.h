#pragma once

#include "entrynode/events.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>

namespace Pistachio::Logging
{
class Logger;
}

namespace Pistachio::Routing
{
class Router;
struct RouterSettings;
} // namespace Pistachio::Routing

namespace Pistachio::Entrynode
{

/// The thread that owns the router.
class Decisions
{
public:
    /// \param settings of the router
    /// \param seed of its random choices
    /// \param events from the network
    /// \param orders to the network
    /// \param wake tells the network that there are orders
    /// \param logger gets one line for each decision
    Decisions(const Routing::RouterSettings &settings, std::uint64_t seed, EventRing &events, OrderRing &orders,
              std::function<void()> wake, Logging::Logger &logger);
    /// Ends the thread once the remaining events are applied; orders that the network no longer takes are dropped.
    ~Decisions();
    Decisions(const Decisions &) = delete;
    Decisions &operator=(const Decisions &) = delete;

private:
    void run();
    void apply(TimePoint now, const Event &event);
    void publish();
    void push(const Order &order);
    void log(const Routing::DecisionRecord &record);

    std::unique_ptr<Routing::Router> router_;
    EventRing &events_;
    OrderRing &orders_;
    std::function<void()> wake_;
    Logging::Logger &logger_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace Pistachio::Entrynode
