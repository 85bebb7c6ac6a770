#include "workersession.h"

#include <worker.pb.h>

#include <unistd.h>

#include <functional>
#include <utility>

namespace Pistachio::StandinWorker
{

using namespace Transport;

namespace
{

constexpr Duration syncLimit = 5s; ///< above the long poll of 3 s
constexpr Duration retryDelay = 100ms;
constexpr Duration newsDelay = 20ms; ///< collects the news of one moment in one sync

std::string bootId()
{
    return std::to_string(::getpid()) + '-' + std::to_string(EventLoop::now().time_since_epoch().count());
}

} // namespace

WorkerSession::WorkerSession(EventLoop &loop, SessionOptions options, const Journal &journal)
    : loop_(loop)
    , options_(std::move(options))
    , agent_(options_.worker, bootId(), options_.rack, options_.capacity)
    , runner_(options_.worker, options_.tasks, agent_, journal)
    , leader_(options_.control.front())
{
}

WorkerSession::~WorkerSession()
{
    // Pending calls must not end in a session that is half destroyed.
    sequence_ = 0;
    clients_.clear();
}

Http2Client &WorkerSession::client(const Endpoint &endpoint)
{
    auto &found = clients_[endpoint];
    if (!found) {
        const auto seed = std::hash<std::string>{}(options_.worker.value() + endpoint.toString());
        found = std::make_unique<Http2Client>(loop_, endpoint, Http2ClientLimits{}, seed);
    }
    return *found;
}

void WorkerSession::tick()
{
    const auto now = EventLoop::now();
    carryOut(now, agent_.tick(now));
    runner_.tick(now);
    const bool hasNews = agent_.hasUnreportedChanges() && now - lastSync_ >= newsDelay;
    if (now >= notBefore_ && (!outstanding_ || hasNews))
        sync(now);
}

void WorkerSession::sync(TimePoint now)
{
    const auto message = agent_.makeSync(now);
    sequence_ = message.sequence();
    outstanding_ = true;
    lastSync_ = now;
    leavingSent_ = message.leaving();
    Request request{"POST", "/v1/worker/sync", {{"pistachio-zone", options_.zone}}, message.SerializeAsString()};
    client(leader_).call(std::move(request), syncLimit,
                         [this, sequence = sequence_](const CallResult &result) { answered(sequence, result); });
}

void WorkerSession::answered(std::uint64_t sequence, const CallResult &result)
{
    if (sequence != sequence_)
        return;
    outstanding_ = false;
    const auto now = EventLoop::now();
    Wire::WorkerOrders orders;
    if (!result || result.value().status != 200 || !orders.ParseFromString(result.value().body)) {
        notBefore_ = now + retryDelay;
        const bool redirected = result && result.value().status == 421;
        changeLeader(redirected ? headerValue(result.value().headers, "pistachio-leader") : std::string_view());
        return;
    }
    leavingAnswered_ = leavingAnswered_ || leavingSent_;
    carryOut(now, agent_.ordersReceived(now, orders));
}

void WorkerSession::changeLeader(std::string_view named)
{
    const auto endpoint = Endpoint::parse(named);
    if (endpoint && !(endpoint.value() == leader_))
        leader_ = endpoint.value();
    else
        leader_ = options_.control[nextControl_++ % options_.control.size()];
}

void WorkerSession::carryOut(TimePoint now, const std::vector<Scheduler::WorkerAction> &actions)
{
    for (const auto &action : actions)
        runner_.carryOut(now, action);
}

void WorkerSession::leave()
{
    if (std::exchange(leaving_, true))
        return;
    agent_.setLeaving(true);
}

bool WorkerSession::hasLeft() const
{
    return leavingAnswered_ && agent_.tasks().empty();
}

} // namespace Pistachio::StandinWorker
