#include "controlnode/network.h"

#include "metrics/registry.h"
#include "operatorapi/authorization.h"
#include "settings/controlsettings.h"

#include <csignal>
#include <functional>
#include <utility>

namespace Pistachio::Controlnode
{

using namespace Transport;

namespace
{

constexpr std::size_t callCapacity = 4096;
constexpr Duration tickInterval = 50ms; ///< the groups and schedulers expect one at least every 100 ms
constexpr Duration longestRound = 5s; ///< a decision thread without progress for longer is reported as not healthy
constexpr Duration stopLimit = 10s;
constexpr Duration internalStopLimit = 500ms;

Http2ServerLimits internalLimits()
{
    Http2ServerLimits limits;
    limits.bodyBytes = 64U << 20;
    return limits;
}

Response plain(int status, std::string text)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(text)};
}

Endpoint endpoint(const Settings::Address &address)
{
    return {address.ip, address.port};
}

Operatorapi::Headers pairs(const Headers &headers)
{
    Operatorapi::Headers result;
    for (const auto &header : headers)
        result.emplace_back(header.name, header.value);
    return result;
}

} // namespace

Network::Network(const Settings::ControlSettings &settings, std::string operatorToken, EventRing &events,
                 Metrics::Registry &metrics)
    : settings_(settings)
    , operatorToken_(std::move(operatorToken))
    , events_(events)
    , metrics_(metrics)
    , calls_(callCapacity)
    , operatorServer_(loop_, {},
                      [this](Request request, const Responder &responder) {
                          handleOperator(std::move(request), responder, Port::Operator);
                      })
    , internalServer_(
          loop_, internalLimits(),
          [this](Request request, const Responder &responder) { handleInternal(std::move(request), responder); })
    , workerServer_(loop_, {}, [this](Request request, const Responder &responder) {
        hand(Port::Worker, std::move(request), responder);
    })
{
}

Network::~Network() = default;

Result<void> Network::listen()
{
    BOOST_OUTCOME_TRY(ports_.internal, internalServer_.listen(endpoint(settings_.listenInternal)));
    BOOST_OUTCOME_TRY(ports_.operators, operatorServer_.listen(endpoint(settings_.listenOperator)));
    BOOST_OUTCOME_TRY(ports_.worker, workerServer_.listen(endpoint(settings_.listenWorker)));
    return success();
}

void Network::run()
{
    loop_.onSignals({SIGTERM, SIGINT}, [this](int) { beginStop(); });
    scheduleTick();
    loop_.run();
}

void Network::abort()
{
    loop_.stop();
}

bool Network::call(PeerCall peerCall)
{
    if (!calls_.tryPush(std::move(peerCall)))
        return false;
    if (!callsPosted_.exchange(true))
        loop_.post([this] { makeCalls(); });
    return true;
}

void Network::makeCalls()
{
    callsPosted_ = false;
    while (auto peerCall = calls_.tryPop())
        makeCall(std::move(*peerCall));
}

void Network::makeCall(PeerCall peerCall)
{
    auto &client = clients_[peerCall.peer];
    if (!client) {
        const auto seed = std::hash<std::string>{}(settings_.instance.value() + peerCall.peer.toString());
        client = std::make_unique<Http2Client>(loop_, peerCall.peer, Http2ClientLimits{}, seed);
    }
    client->call(std::move(peerCall.request), peerCall.timeout, [this, id = peerCall.id](CallResult result) {
        // The decision thread has its own deadline for each call, so an answer that a full ring refuses is not missed.
        if (id != 0)
            events_.tryPush(PeerAnswer{id, std::move(result)});
    });
}

void Network::scheduleTick()
{
    tickTimer_ = loop_.callAfter(tickInterval, [this] {
        events_.tryPush(Tick{});
        metrics_.set("network_sent_bytes", static_cast<double>(loop_.bytesSent()));
        metrics_.set("network_received_bytes", static_cast<double>(loop_.bytesReceived()));
        scheduleTick();
    });
}

void Network::hand(Port port, Request request, const Responder &responder)
{
    if (!events_.tryPush(IncomingRequest{port, std::move(request), responder}))
        responder.respond({503, {{"retry-after", "1"}}, "overloaded\n"});
}

void Network::handleInternal(Request request, const Responder &responder)
{
    if (request.target.starts_with("/operator/")) {
        handleOperator(std::move(request), responder, Port::Internal);
        return;
    }
    if (request.target != "/replication") {
        hand(Port::Internal, std::move(request), responder);
        return;
    }
    // Replication has its own answers; this one only ends the HTTP exchange.
    if (events_.tryPush(IncomingRequest{Port::Internal, std::move(request), Responder()}))
        responder.respond({204, {}, {}});
    else
        responder.respond({503, {}, {}});
}

void Network::handleOperator(Request request, const Responder &responder, Port port)
{
    if (request.target == "/healthz") {
        responder.respond(health());
    } else if (request.target == "/readyz") {
        responder.respond(ready_ && !stopping_ ? plain(200, "ready\n") : plain(503, "not ready\n"));
    } else if (!Operatorapi::isAuthorized(pairs(request.headers), operatorToken_)) {
        auto answer = Operatorapi::unauthorizedAnswer();
        Response response{static_cast<int>(answer.status), {}, std::move(answer.body)};
        for (auto &[name, value] : answer.headers)
            response.headers.push_back({name, value});
        responder.respond(std::move(response));
    } else if (request.target == "/v1/metrics") {
        responder.respond(plain(200, metrics_.exposition()));
    } else {
        hand(port, std::move(request), responder);
    }
}

Response Network::health() const
{
    const auto silence = EventLoop::now() - TimePoint(Duration(lastRound_));
    if (silence > longestRound)
        return plain(503, "the decision thread makes no progress\n");
    return plain(200, "ok\n");
}

void Network::beginStop()
{
    if (std::exchange(stopping_, true))
        return;
    events_.tryPush(DrainRequested{});
    openServers_ = 2;
    const auto stopped = [this] {
        if (--openServers_ == 0)
            finishStop();
    };
    operatorServer_.stop(stopLimit, stopped);
    workerServer_.stop(stopLimit, stopped);
}

// The internal port stays open until here, because requests in flight may wait for the other replicas.
void Network::finishStop()
{
    internalServer_.stop(internalStopLimit, [this] { loop_.stop(); });
}

} // namespace Pistachio::Controlnode
