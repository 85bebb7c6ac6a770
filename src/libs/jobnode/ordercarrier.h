#pragma once

#include "transport/message.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Pistachio::Wire
{
class JobOrder;
class JobOrderAnswer;
class JobOrderAnswers;
} // namespace Pistachio::Wire

namespace Pistachio::Jobnode
{

class MinionClient;
class OrderCarrierPorts;

/// Carries out the orders that a leader hands to this instance, and hands the answers back in batches. Decides nothing:
/// an order that is too old is not sent, and one of an earlier leader is refused.
class OrderCarrier
{
public:
    /// \param ports outlive the carrier
    /// \param minions calls minions; is closed before the carrier ends
    /// \param zone the availability zone of this instance
    OrderCarrier(OrderCarrierPorts &ports, MinionClient &minions, std::string zone);
    ~OrderCarrier();

    /// \param body a Wire::JobOrders
    /// \param term the latest term that this instance has heard of
    /// \return 200 with a Wire::JobOrdersTaken; 400 for what can't be read, 409 for orders of an earlier leader.
    /// Without 200 nothing is sent.
    Transport::Response take(std::string_view body, std::uint64_t term);

private:
    void carryOut(const Wire::JobOrder &order, std::uint64_t fencingToken);
    /// \return a message for the answer to an order, or null if its leader is not followed any more.
    Wire::JobOrderAnswer *addAnswer(std::uint64_t id, std::uint64_t fencingToken);
    void sendAnswers();

    OrderCarrierPorts &ports_;
    MinionClient &minions_;
    const std::string zone_;
    std::string leader_;
    std::uint64_t fencingToken_ = 0; ///< of the latest leader that handed orders over
    std::unique_ptr<Wire::JobOrderAnswers> answers_; ///< that wait
};

} // namespace Pistachio::Jobnode
