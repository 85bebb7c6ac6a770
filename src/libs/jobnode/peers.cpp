#include "jobnode/peers.h"

#include "jobnode/peerobserver.h"

#include <functional>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{
constexpr Duration connectTimeout = 400ms; ///< a few round trips between regions
constexpr Duration silenceBeforePing = 600ms;
constexpr Duration pingTimeout = 600ms; ///< a silent connection is replaced before an election is needed
constexpr Duration reconnectMax = 250ms;
} // namespace

Peers::Peers(Transport::EventLoop &loop, std::uint16_t port, std::string localIp, PeerObserver *observer,
             std::shared_ptr<Transport::MemoryBudget> memory)
    : loop_(loop)
    , port_(port)
    , localIp_(std::move(localIp))
    , observer_(observer)
    , memory_(std::move(memory))
{
}

Peers::~Peers()
{
    // The clients end their calls now, and what follows from that is not begun any more.
    closing_ = true;
    clients_.clear();
}

void Peers::call(std::string_view ip, std::string_view target, std::string body, Duration limit,
                 Transport::CallCompletion completion)
{
    if (closing_)
        return;
    auto found = clients_.find(ip);
    if (found == clients_.end()) {
        Transport::Http2ClientLimits limits;
        limits.localIp = localIp_;
        limits.connectTimeout = connectTimeout;
        limits.silenceBeforePing = silenceBeforePing;
        limits.pingTimeout = pingTimeout;
        limits.reconnectMax = reconnectMax;
        limits.memory = memory_;
        auto client = std::make_unique<Transport::Http2Client>(loop_, Transport::Endpoint{std::string(ip), port_},
                                                               limits, std::hash<std::string_view>{}(ip));
        found = clients_.emplace(std::string(ip), std::move(client)).first;
        if (observer_)
            found->second->onConnectionLost([this, name = found->first] { observer_->connectionLost(name); });
    }
    Transport::Request request;
    request.method = "POST";
    request.target = target;
    request.body = std::move(body);
    if (!observer_) {
        found->second->call(std::move(request), limit, std::move(completion));
        return;
    }
    found->second->call(
        std::move(request), limit,
        [this, name = found->first, completion = std::move(completion)](const Transport::CallResult &result) {
            if (!closing_ && !result && result.error().refused)
                observer_->connectionRefused(name);
            completion(result);
        });
}

} // namespace Pistachio::Jobnode
