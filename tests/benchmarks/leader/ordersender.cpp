#include "ordersender.h"

#include "standincarriers.h"

#include <cstdlib>
#include <string_view>

namespace Pistachio::Benchmark
{

using Transport::EventLoop;

namespace
{

constexpr std::size_t minions = 1100;
constexpr std::size_t connections = 4096;
constexpr std::size_t addressesPerGroup = 250;
constexpr std::uint64_t fencingToken = 1; ///< of the load
constexpr Duration answerTime = 1min; ///< callgrind is slow
constexpr std::string_view ownIp = "127.8.0.1";

/// \return the number in "<anything>:<port>", counted from the first port of the load.
std::size_t numberOf(std::string_view address)
{
    constexpr std::size_t firstPort = 10'000;
    return std::strtoul(std::string(address.substr(address.find(':') + 1)).c_str(), nullptr, 10) - firstPort;
}

} // namespace

OrderSender::OrderSender(std::uint16_t minionPort, std::uint16_t instancePort)
    : minionPort_(minionPort)
    , instancePort_(instancePort)
    , logger_("leader-cost", "leader", "error", "", 1, 1)
    , client_(loop_, logger_, {"127.0.0.1", 1}, connections)
    , relay_(*this, client_, std::string(ownIp), StandinCarriers::zoneOf(0))
    , server_(loop_, {},
              [this](const Transport::Request &request, const Transport::Responder &responder) {
                  responder.respond({relay_.takeAnswers(request.body) ? 204 : 400, {}, {}});
              })
    , peers_(loop_, instancePort, std::string(ownIp))
{
    for (std::size_t number = 0; number < minions; ++number)
        zones_.push_back(StandinCarriers::zoneOf(number));
}

Result<void> OrderSender::open()
{
    BOOST_OUTCOME_TRYV(server_.listen({std::string(ownIp), instancePort_}));
    relay_.lead(fencingToken);
    const auto instances = StandinCarriers::instances();
    relay_.tick(instances);
    loop_.runFor(1s);
    return success();
}

TimePoint OrderSender::now() const
{
    return EventLoop::now();
}

std::string_view OrderSender::zoneOf(const std::string &minion) const
{
    return zones_.at(std::strtoul(minion.c_str() + minion.rfind('-') + 1, nullptr, 10));
}

void OrderSender::handOver(const std::string &instance, std::string orders, Duration /*limit*/,
                           Transport::CallCompletion completion)
{
    peers_.call(instance, "/jobs/orders", std::move(orders), answerTime, std::move(completion));
}

void OrderSender::log(std::string_view /*event*/, std::initializer_list<Logging::LogField> /*fields*/) { }

template<class Order> Order OrderSender::readdressed(Order order)
{
    const auto number = numberOf(order.address);
    order.address = "127.9." + std::to_string(number / addressesPerGroup) + '.'
        + std::to_string(1 + number % addressesPerGroup) + ':' + std::to_string(minionPort_);
    return order;
}

void OrderSender::add(Jobs::StartOrder order)
{
    starts_.push_back(readdressed(std::move(order)));
}

void OrderSender::add(Jobs::StopOrder order)
{
    stops_.push_back(readdressed(std::move(order)));
}

void OrderSender::add(Jobs::LeaseOrder order)
{
    renewals_.push_back(readdressed(std::move(order)));
}

void OrderSender::sendAll()
{
    const auto instances = StandinCarriers::instances();
    relay_.tick(instances);
    const auto orders = starts_.size() + stops_.size() + renewals_.size();
    waiting_ += orders;
    const auto carriedBefore = relay_.underWay();
    for (const auto &order : std::exchange(starts_, {}))
        relay_.start(order, [this](const auto &answer) { answered(answer.outcome); });
    for (const auto &order : std::exchange(stops_, {}))
        relay_.stop(order, [this](const auto &answer) { answered(answer.outcome); });
    for (const auto &order : std::exchange(renewals_, {}))
        relay_.renewLease(order, [this](const auto &answer) { answered(answer.outcome); });
    direct_ += orders - (relay_.underWay() - carriedBefore);
    relay_.flush();
    if (waiting_ > 0)
        loop_.runFor(answerTime);
}

void OrderSender::answered(Jobs::OrderOutcome outcome)
{
    failed_ += outcome == Jobs::OrderOutcome::Done ? 0 : 1;
    if (--waiting_ == 0)
        loop_.stop();
}

} // namespace Pistachio::Benchmark
