#include "jobnode/carryingports.h"

#include "jobnode/noderuntime.h"
#include "jobnode/peers.h"
#include "jobs/jobstore.h"

#include <jobs.pb.h>

#include <ctime>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{
constexpr Duration answerLimit = 400ms; ///< later, the leader has given the orders up
} // namespace

CarryingPorts::CarryingPorts(NodeRuntime &runtime, Peers &peers, const Jobs::JobStore &store)
    : runtime_(runtime)
    , peers_(peers)
    , store_(store)
{
}

TimePoint CarryingPorts::now() const
{
    return Transport::EventLoop::now();
}

std::string_view CarryingPorts::zoneOf(const std::string &minion) const
{
    const auto found = store_.minions().find(minion);
    return found == store_.minions().end() ? std::string_view() : std::string_view(found->second.zone());
}

void CarryingPorts::handOver(const std::string &instance, std::string orders, Duration limit,
                             Transport::CallCompletion completion)
{
    runtime_.metrics().add("order_batches_total");
    peers_.call(instance, "/jobs/orders", std::move(orders), limit, std::move(completion));
}

void CarryingPorts::log(std::string_view event, std::initializer_list<Logging::LogField> fields)
{
    runtime_.logger().write(Logging::LogLevel::Info, event, fields);
}

Duration CarryingPorts::suspensionClock() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

void CarryingPorts::callLater(Duration delay, std::function<void()> function)
{
    timer_ = runtime_.loop().callAfter(delay, std::move(function));
}

void CarryingPorts::answerLeader(const std::string &leader, std::string answers)
{
    runtime_.metrics().add("order_answer_batches_total");
    peers_.call(leader, "/jobs/order-answers", std::move(answers), answerLimit, [](const auto & /*result*/) {});
}

} // namespace Pistachio::Jobnode
