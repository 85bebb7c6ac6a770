#include "jobnode/ordercarrier.h"

#include "jobnode/minionclient.h"
#include "jobnode/ordercarrierports.h"
#include "jobnode/orderwire.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{

constexpr Duration oldestOrder = 150ms; ///< as long as the leader would wait for the minion's answer
constexpr Duration answerInterval = 5ms; ///< answers of this time share a message

} // namespace

OrderCarrier::OrderCarrier(OrderCarrierPorts &ports, MinionClient &minions, std::string zone)
    : ports_(ports)
    , minions_(minions)
    , zone_(std::move(zone))
    , answers_(std::make_unique<Wire::JobOrderAnswers>())
{
}

OrderCarrier::~OrderCarrier() = default;

Transport::Response OrderCarrier::take(std::string_view body, std::uint64_t term)
{
    Wire::JobOrders message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size())))
        return {400, {}, "not a batch of orders"};
    if (message.fencing_token() < std::max(term, fencingToken_))
        return {409, {}, "a later leader is known"};
    if (message.fencing_token() != fencingToken_)
        answers_->Clear();
    fencingToken_ = message.fencing_token();
    leader_ = message.leader();
    // This instance may have been paused since the orders arrived.
    const auto now = ports_.suspensionClock();
    const bool isOld = message.handed_over_us() == 0 || now > Duration(message.handed_over_us()) + oldestOrder;
    for (const auto &order : message.orders()) {
        if (!isOld)
            carryOut(order, fencingToken_);
        else if (auto *answer = addAnswer(order.id(), fencingToken_))
            answer->set_outcome(Wire::JOB_ORDER_NOT_SENT);
    }
    Wire::JobOrdersTaken taken;
    taken.set_clock_us(now.count());
    taken.set_zone(zone_);
    return {200, {{"Content-Type", "application/x-protobuf"}}, taken.SerializeAsString()};
}

void OrderCarrier::carryOut(const Wire::JobOrder &order, std::uint64_t fencingToken)
{
    const auto answered = [this, id = order.id(), fencingToken](const auto &answer) {
        if (auto *message = addAnswer(id, fencingToken))
            fill(*message, answer);
    };
    switch (order.order_case()) {
    case Wire::JobOrder::kStart:
        minions_.start(toStartOrder(order, fencingToken), answered);
        return;
    case Wire::JobOrder::kStop:
        minions_.stop(toStopOrder(order, fencingToken), answered);
        return;
    case Wire::JobOrder::kThrottle:
        minions_.throttle(toThrottleOrder(order, fencingToken), answered);
        return;
    case Wire::JobOrder::kRenewal:
        minions_.renewLease(toLeaseOrder(order, fencingToken), answered);
        return;
    case Wire::JobOrder::ORDER_NOT_SET:
        // Of a later version; it was not sent.
        if (auto *message = addAnswer(order.id(), fencingToken))
            message->set_outcome(Wire::JOB_ORDER_NOT_SENT);
    }
}

Wire::JobOrderAnswer *OrderCarrier::addAnswer(std::uint64_t id, std::uint64_t fencingToken)
{
    if (fencingToken != fencingToken_)
        return nullptr;
    if (answers_->answers_size() == 0)
        ports_.callLater(answerInterval, [this] { sendAnswers(); });
    auto *answer = answers_->add_answers();
    answer->set_id(id);
    return answer;
}

void OrderCarrier::sendAnswers()
{
    if (answers_->answers_size() == 0)
        return;
    answers_->set_fencing_token(fencingToken_);
    ports_.answerLeader(leader_, answers_->SerializeAsString());
    answers_->Clear();
}

} // namespace Pistachio::Jobnode
