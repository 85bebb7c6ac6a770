#pragma once

#include "jobnode/carriertable.h"
#include "jobnode/minionclient.h"
#include "transport/message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace Pistachio::Wire
{
class JobOrderAnswer;
class JobOrders;
} // namespace Pistachio::Wire

namespace Pistachio::Jobnode
{

class OrderRelayPorts;

/// The leader's client for minions. Hands orders to the control instances that carry them, in batches, and gets the
/// answers in batches. Without a carrier for a minion the leader calls it itself.
///
/// A carrier is a link that may be slow, and may lose, repeat or reorder orders. An order that it doesn't answer in
/// time is unanswered, and so is every order at a carrier that fell silent.
class OrderRelay : public MinionClient
{
public:
    /// \param ports outlive the relay
    /// \param direct calls minions; outlives the relay
    /// \param ownIp the address that gets the answers
    /// \param ownZone the availability zone of this instance
    OrderRelay(OrderRelayPorts &ports, MinionClient &direct, std::string ownIp, std::string ownZone);
    ~OrderRelay() override;

    void start(const Jobs::StartOrder &order, Answered answered) override;
    void stop(const Jobs::StopOrder &order, Answered answered) override;
    void throttle(const Jobs::ThrottleOrder &order, Answered answered) override;
    void renewLease(const Jobs::LeaseOrder &order, std::function<void(const Jobs::LeaseAnswer &)> answered) override;
    void close() override;

    /// This instance begins to lead.
    void lead(std::uint64_t fencingToken);
    /// It leads no longer. What was not handed over is not sent, the rest is unanswered.
    void resign();

    /// To be called about every 20 ms while this instance leads.
    /// \param instances the addresses of those that may carry orders
    void tick(std::span<const std::string> instances);

    /// Hands over what waits.
    void flush();
    /// Answers what waits as not sent.
    void dropUnsent();

    /// \param body a Wire::JobOrderAnswers
    /// \return whether it could be read.
    bool takeAnswers(std::string_view body);

    /// \return the number of orders that carriers have not answered.
    [[nodiscard]] std::size_t underWay() const { return underWay_.size(); }

private:
    using Completed = std::function<void(const Wire::JobOrderAnswer &)>;
    struct CarriedOrder {
        std::string carrier;
        TimePoint deadline{}; ///< on the clock of onTime()
        Completed completed;
    };

    /// Adds an order to the batch of the minion's carrier.
    /// \param wait how long the minion may delay its answer
    /// \return false if the leader is to call the minion itself.
    template<class Order> bool addOrder(const Order &order, Duration wait, const Completed &completed);
    void handedOver(const std::string &carrier, std::uint64_t firstId, std::uint64_t lastId, TimePoint sentAt,
                    const Transport::CallResult &result);
    /// \return the time less that by which this process was late.
    [[nodiscard]] TimePoint onTime(TimePoint now) const { return now - lateness_; }
    void ask(const std::string &carrier);
    void send(const std::string &carrier, Wire::JobOrders &batch);
    /// Completes the orders that \p isOver selects, as not sent or unanswered.
    void endOrders(bool isSent, const std::function<bool(std::uint64_t id, const CarriedOrder &order)> &isOver);

    OrderRelayPorts &ports_;
    MinionClient &direct_;
    const std::string ownIp_;
    CarrierTable carriers_;
    std::uint64_t fencingToken_ = 0;
    bool isLeading_ = false;
    bool isClosed_ = false;
    std::uint64_t lastId_ = 0;
    std::map<std::uint64_t, CarriedOrder> underWay_; ///< by id
    std::map<std::string, std::unique_ptr<Wire::JobOrders>> batches_; ///< that wait, by carrier
    TimePoint lastTick_{};
    Duration lateness_{}; ///< sum of the times by which ticks came late
};

} // namespace Pistachio::Jobnode
