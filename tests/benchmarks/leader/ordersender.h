#pragma once

#include "jobnode/orderrelay.h"
#include "jobnode/orderrelayports.h"
#include "jobnode/peers.h"
#include "jobs/orders.h"
#include "logging/logger.h"
#include "platform/platformclient.h"
#include "transport/eventloop.h"
#include "transport/http2server.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace Pistachio::Benchmark
{

/// Sends the orders of a leader as its process does: over HTTP to the minions of its zone, over the instances that
/// carry orders to the others. What the minions answer says nothing.
class OrderSender : private Jobnode::OrderRelayPorts
{
public:
    /// \param minionPort where all minions listen, each on an address of its own
    /// \param instancePort where the carriers listen
    OrderSender(std::uint16_t minionPort, std::uint16_t instancePort);

    /// Listens for answers of the carriers and waits until they are there.
    Result<void> open();

    /// Remembers an order until sendAll().
    void add(Jobs::StartOrder order);
    void add(Jobs::StopOrder order);
    void add(Jobs::LeaseOrder order);

    /// Sends the orders and waits for all answers.
    void sendAll();

    [[nodiscard]] std::size_t failedOrders() const { return failed_ + waiting_; }
    [[nodiscard]] std::size_t directOrders() const { return direct_; }

private:
    // OrderRelayPorts
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] std::string_view zoneOf(const std::string &minion) const override;
    void handOver(const std::string &instance, std::string orders, Duration limit,
                  Transport::CallCompletion completion) override;
    void log(std::string_view event, std::initializer_list<Logging::LogField> fields) override;

    template<class Order> Order readdressed(Order order);
    void answered(Jobs::OrderOutcome outcome);

    const std::uint16_t minionPort_;
    const std::uint16_t instancePort_;
    Transport::EventLoop loop_;
    Logging::Logger logger_;
    Platform::PlatformClient client_;
    Jobnode::OrderRelay relay_;
    Transport::Http2Server server_;
    Jobnode::Peers peers_;
    std::vector<std::string> zones_; ///< by the number of a minion
    std::vector<Jobs::StartOrder> starts_;
    std::vector<Jobs::StopOrder> stops_;
    std::vector<Jobs::LeaseOrder> renewals_;
    std::size_t waiting_ = 0;
    std::size_t failed_ = 0;
    std::size_t direct_ = 0;
};

} // namespace Pistachio::Benchmark
