#pragma once

#include "core/result.h"
#include "jobnode/minionclient.h"
#include "transport/eventloop.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Pistachio::Benchmark
{

/// Control instances that carry a leader's orders, each on an address of its own, to minions that answer at once.
class StandinCarriers : public Jobnode::MinionClient
{
public:
    explicit StandinCarriers(Transport::EventLoop &loop);
    ~StandinCarriers() override;

    /// \return the port on which all of them listen, or why they can't.
    Result<std::uint16_t> listen();

    /// \return the addresses of the instances.
    [[nodiscard]] static std::vector<std::string> instances();
    /// \return the availability zone of a minion; that of the leader is the first.
    [[nodiscard]] static std::string zoneOf(std::size_t minion);

private:
    class Instance;

    // MinionClient
    void start(const Jobs::StartOrder &order, Answered answered) override;
    void stop(const Jobs::StopOrder &order, Answered answered) override;
    void throttle(const Jobs::ThrottleOrder &order, Answered answered) override;
    void renewLease(const Jobs::LeaseOrder &order, std::function<void(const Jobs::LeaseAnswer &)> answered) override;
    void close() override { }

    Transport::EventLoop &loop_;
    std::vector<std::unique_ptr<Instance>> instances_;
};

} // namespace Pistachio::Benchmark
