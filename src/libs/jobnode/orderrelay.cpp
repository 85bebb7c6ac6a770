#include "jobnode/orderrelay.h"

#include "jobnode/orderrelayports.h"
#include "jobnode/orderwire.h"

#include <jobs.pb.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace Pistachio::Jobnode
{

namespace
{

constexpr Duration tickInterval = 20ms;
constexpr Duration toleratedTick = 30ms; ///< a tick after more than this is late
constexpr Duration answerLimit = 400ms; ///< of an order without its wait: what a carrier waits, and both ways
constexpr Duration handOverLimit = 400ms;
constexpr Duration pauseAfterFailure = 200ms;
constexpr Duration pauseAfterUnsent = 1s; ///< of an instance that did not send its orders
constexpr Duration pauseAfterRefusal = 2s; ///< of an instance that carries no orders
constexpr int statusOk = 200;

Wire::JobOrderAnswer unanswered()
{
    Wire::JobOrderAnswer answer;
    answer.set_outcome(Wire::JOB_ORDER_UNANSWERED);
    answer.set_may_reach_later_incarnation(true);
    return answer;
}

Wire::JobOrderAnswer notSent()
{
    Wire::JobOrderAnswer answer;
    answer.set_outcome(Wire::JOB_ORDER_NOT_SENT);
    return answer;
}

} // namespace

OrderRelay::OrderRelay(OrderRelayPorts &ports, MinionClient &direct, std::string ownIp, std::string ownZone)
    : ports_(ports)
    , direct_(direct)
    , ownIp_(std::move(ownIp))
    , carriers_(std::move(ownZone))
{
}

OrderRelay::~OrderRelay() = default;

template<class Order> bool OrderRelay::addOrder(const Order &order, Duration wait, const Completed &completed)
{
    if (!isLeading_ || order.fence.term != fencingToken_)
        return false;
    auto carrier = carriers_.carrierOf(order.minion.id, ports_.zoneOf(order.minion.id));
    if (!carrier)
        return false;
    auto &batch = batches_[*carrier];
    if (!batch)
        batch = std::make_unique<Wire::JobOrders>();
    auto &message = *batch->add_orders();
    message.set_id(++lastId_);
    fill(message, order);
    underWay_[lastId_] = {std::move(*carrier), onTime(ports_.now()) + answerLimit + wait, completed};
    return true;
}

void OrderRelay::start(const Jobs::StartOrder &order, Answered answered)
{
    const auto completed = [answered](const Wire::JobOrderAnswer &answer) { answered(toOrderAnswer(answer)); };
    if (!addOrder(order, Duration::zero(), completed))
        direct_.start(order, std::move(answered));
}

void OrderRelay::stop(const Jobs::StopOrder &order, Answered answered)
{
    const auto completed = [answered](const Wire::JobOrderAnswer &answer) { answered(toOrderAnswer(answer)); };
    if (!addOrder(order, Duration::zero(), completed))
        direct_.stop(order, std::move(answered));
}

void OrderRelay::throttle(const Jobs::ThrottleOrder &order, Answered answered)
{
    const auto completed = [answered](const Wire::JobOrderAnswer &answer) { answered(toOrderAnswer(answer)); };
    if (!addOrder(order, Duration::zero(), completed))
        direct_.throttle(order, std::move(answered));
}

void OrderRelay::renewLease(const Jobs::LeaseOrder &order, std::function<void(const Jobs::LeaseAnswer &)> answered)
{
    const auto completed = [answered](const Wire::JobOrderAnswer &answer) { answered(toLeaseAnswer(answer)); };
    if (!addOrder(order, order.wait, completed))
        direct_.renewLease(order, std::move(answered));
}

void OrderRelay::close()
{
    isClosed_ = true;
    resign();
    direct_.close();
}

void OrderRelay::lead(std::uint64_t fencingToken)
{
    resign();
    isLeading_ = !isClosed_;
    fencingToken_ = fencingToken;
    lastTick_ = ports_.now();
}

void OrderRelay::resign()
{
    isLeading_ = false;
    carriers_.clear();
    dropUnsent();
    endOrders(true, [](auto /*id*/, const auto & /*order*/) { return true; });
}

void OrderRelay::tick(std::span<const std::string> instances)
{
    if (!isLeading_)
        return;
    const auto now = ports_.now();
    const auto sinceLastTick = now - std::exchange(lastTick_, now);
    // What has arrived while this process was late is read before the time of an order is up.
    if (sinceLastTick > toleratedTick)
        lateness_ += sinceLastTick - tickInterval;
    carriers_.setInstances(onTime(now), instances);
    for (const auto &carrier : carriers_.takeDue(onTime(now)))
        ask(carrier);
    endOrders(true, [this, at = onTime(now)](auto /*id*/, const CarriedOrder &order) {
        return at >= order.deadline || !carriers_.isUsable(order.carrier);
    });
}

/// An instance that gets no orders is asked whether it is there.
void OrderRelay::ask(const std::string &carrier)
{
    if (batches_.contains(carrier))
        return;
    Wire::JobOrders question;
    send(carrier, question);
}

void OrderRelay::flush()
{
    // Handing over may fail at once, and what follows may add orders.
    const auto batches = std::exchange(batches_, {});
    for (const auto &[carrier, batch] : batches)
        send(carrier, *batch);
}

void OrderRelay::send(const std::string &carrier, Wire::JobOrders &batch)
{
    const auto now = ports_.now();
    batch.set_leader(ownIp_);
    batch.set_fencing_token(fencingToken_);
    batch.set_handed_over_us(carriers_.clockAtLeast(now, carrier).value_or(Duration::zero()).count());
    const auto firstId = batch.orders_size() > 0 ? batch.orders(0).id() : 1;
    const auto lastId = batch.orders_size() > 0 ? batch.orders(batch.orders_size() - 1).id() : 0;
    carriers_.asked(onTime(now), carrier);
    ports_.handOver(carrier, batch.SerializeAsString(), handOverLimit,
                    [this, carrier, firstId, lastId, token = fencingToken_,
                     sentAt = onTime(now)](const Transport::CallResult &result) {
                        if (isLeading_ && token == fencingToken_)
                            handedOver(carrier, firstId, lastId, sentAt, result);
                    });
}

void OrderRelay::handedOver(const std::string &carrier, std::uint64_t firstId, std::uint64_t lastId, TimePoint sentAt,
                            const Transport::CallResult &result)
{
    const auto now = onTime(ports_.now());
    Wire::JobOrdersTaken taken;
    const bool wasUsable = carriers_.isUsable(carrier);
    if (result && result.value().status == statusOk && taken.ParseFromString(result.value().body)) {
        carriers_.recordClock(ports_.now(), carrier, Duration(taken.clock_us()));
        carriers_.answered(now, carrier, sentAt, taken.zone());
        if (!wasUsable && carriers_.isUsable(carrier))
            ports_.log("carrier-used", {{"carrier", carrier}, {"zone", taken.zone()}, {"fence", fencingToken_}});
        return;
    }
    const bool isRefused = result.has_value();
    carriers_.failed(now, carrier, isRefused ? pauseAfterRefusal : pauseAfterFailure);
    if (wasUsable)
        ports_.log(
            "carrier-lost",
            {{"carrier", carrier},
             {"orders", lastId + 1 - firstId},
             {"reason", isRefused ? "status " + std::to_string(result.value().status) : result.error().error.message}});
    const bool isSent = !isRefused && result.error().written;
    endOrders(isSent, [&](std::uint64_t id, const CarriedOrder &order) {
        return id >= firstId && id <= lastId && order.carrier == carrier;
    });
}

void OrderRelay::dropUnsent()
{
    const auto batches = std::exchange(batches_, {});
    for (const auto &entry : batches) {
        const auto &orders = entry.second->orders();
        if (orders.empty())
            continue;
        endOrders(false, [&entry, first = orders.begin()->id()](std::uint64_t id, const CarriedOrder &order) {
            return id >= first && order.carrier == entry.first;
        });
    }
}

void OrderRelay::endOrders(bool isSent, const std::function<bool(std::uint64_t, const CarriedOrder &)> &isOver)
{
    std::vector<Completed> over;
    for (auto order = underWay_.begin(); order != underWay_.end();) {
        if (!isOver(order->first, order->second)) {
            ++order;
            continue;
        }
        over.push_back(std::move(order->second.completed));
        order = underWay_.erase(order);
    }
    const auto answer = isSent ? unanswered() : notSent();
    for (const auto &completed : over)
        completed(answer);
}

bool OrderRelay::takeAnswers(std::string_view body)
{
    Wire::JobOrderAnswers message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size())))
        return false;
    if (!isLeading_ || message.fencing_token() != fencingToken_)
        return true;
    std::set<std::string> unsentBy;
    for (const auto &answer : message.answers()) {
        const auto order = underWay_.find(answer.id());
        if (order == underWay_.end())
            continue;
        if (answer.outcome() == Wire::JOB_ORDER_NOT_SENT)
            unsentBy.insert(order->second.carrier);
        const auto completed = std::move(order->second.completed);
        underWay_.erase(order);
        completed(answer);
    }
    for (const auto &carrier : unsentBy) {
        carriers_.failed(onTime(ports_.now()), carrier, pauseAfterUnsent);
        ports_.log("carrier-lost", {{"carrier", carrier}, {"reason", "it got orders too late to send them"}});
    }
    return true;
}

} // namespace Pistachio::Jobnode
