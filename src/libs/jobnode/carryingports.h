#pragma once

#include "jobnode/ordercarrierports.h"
#include "jobnode/orderrelayports.h"
#include "transport/eventloop.h"

namespace Pistachio::Jobs
{
class JobStore;
}

namespace Pistachio::Jobnode
{

class NodeRuntime;
class Peers;

/// Connects the relay and the carrier of orders with the process that they run in.
class CarryingPorts : public OrderRelayPorts, public OrderCarrierPorts
{
public:
    /// All parts outlive the ports.
    CarryingPorts(NodeRuntime &runtime, Peers &peers, const Jobs::JobStore &store);

    // OrderRelayPorts
    [[nodiscard]] TimePoint now() const override;
    [[nodiscard]] std::string_view zoneOf(const std::string &minion) const override;
    void handOver(const std::string &instance, std::string orders, Duration limit,
                  Transport::CallCompletion completion) override;
    void log(std::string_view event, std::initializer_list<Logging::LogField> fields) override;

    // OrderCarrierPorts
    [[nodiscard]] Duration suspensionClock() const override;
    void callLater(Duration delay, std::function<void()> function) override;
    void answerLeader(const std::string &leader, std::string answers) override;

private:
    NodeRuntime &runtime_;
    Peers &peers_;
    const Jobs::JobStore &store_;
    Transport::Timer timer_;
};

} // namespace Pistachio::Jobnode
