#include "entrynode/network.h"

#include "entrynode/answers.h"
#include "entrynode/minionapi.h"
#include "entrynode/statuspages.h"
#include "entrynode/wireentries.h"
#include "logging/logger.h"
#include "metrics/registry.h"
#include "settings/entrysettings.h"
#include "transport/memorybudget.h"

#include <entry.pb.h>
#include <zone.pb.h>

#include <algorithm>

namespace Pistachio::Entrynode
{

using Logging::LogLevel;
using Transport::EventLoop;
using Transport::Request;
using Transport::Responder;

namespace
{

constexpr Duration flushInterval = 1ms;
/// Within this time each minion that lives has announced itself, and shares may be used.
constexpr Duration warmUpLimit = 8s;
constexpr std::size_t internalHeaderAllowance = std::size_t{64} << 10;

/// Beside the requests that the proxy holds, for requests that are still received and answers that are not read.
constexpr std::size_t transferBytes = std::size_t{64} << 20;

using MemoryPointer = std::shared_ptr<Transport::MemoryBudget>;

Transport::HttpServerLimits callerLimits(const Settings::EntrySettings &settings, const MemoryPointer &memory)
{
    Transport::HttpServerLimits limits;
    limits.memory = memory;
    limits.headerBytes = settings.limits.maxHeaderBytes;
    limits.bodyBytes = settings.limits.maxBodyBytes;
    limits.idleTimeout = settings.limits.idleTimeout;
    return limits;
}

Transport::HttpServerLimits minionLimits(const MemoryPointer &memory)
{
    Transport::HttpServerLimits limits;
    limits.memory = memory;
    limits.bodyBytes = std::size_t{16} << 10;
    return limits;
}

Transport::Http2ServerLimits internalLimits(const Settings::EntrySettings &settings, const MemoryPointer &memory)
{
    Transport::Http2ServerLimits limits;
    limits.memory = memory;
    limits.bodyBytes = settings.limits.maxBodyBytes + settings.limits.maxHeaderBytes + internalHeaderAllowance;
    return limits;
}

} // namespace

Network::Network(const Settings::EntrySettings &settings, std::string bootId, EventRing &events, OrderRing &orders,
                 Metrics::Registry &metrics, Logging::Logger &logger)
    : settings_(settings)
    , bootId_(std::move(bootId))
    , events_(events)
    , orders_(orders)
    , metrics_(metrics)
    , logger_(logger)
    , zones_(loop_, settings)
    , finishes_(loop_, zones_,
                [this](const std::string &key) {
                    logger_.write(LogLevel::Error, "finish-lost", {{"key", key}});
                })
    , settlement_(loop_, zones_, settings.instance)
    , peers_(loop_, settings)
    , proxy_({loop_, peers_, zones_, finishes_, settlement_, configuration_, metrics}, settings.instance, settings.zone,
             settings.limits.maxBodyBytes, [this](Event event) { deliver(std::move(event)); })
    , memory_(Transport::MemoryBudget::create(RequestProxy::mostHeldBytes + transferBytes))
    , callers_(loop_, callerLimits(settings, memory_),
               [this](Request request, const Responder &responder) { handleCaller(std::move(request), responder); })
    , minions_(loop_, minionLimits(memory_),
               [this](const Request &request, const Responder &responder) { handleMinion(request, responder); })
    , internal_(loop_, internalLimits(settings, memory_),
                [this](const Request &request, const Responder &responder) { handleInternal(request, responder); })
{
}

Network::~Network() = default;

Result<void> Network::listen()
{
    const auto endpoint = [](const Settings::Address &address) {
        return Transport::Endpoint{address.ip, address.port};
    };
    callers_.onRejected([this](int status, std::string_view reason) { noteRejected("callers", status, reason); });
    minions_.onRejected([this](int status, std::string_view reason) { noteRejected("minions", status, reason); });
    BOOST_OUTCOME_TRY(ports_.callers, callers_.listen(endpoint(settings_.listenCallers)));
    BOOST_OUTCOME_TRY(ports_.minions, minions_.listen(endpoint(settings_.listenMinions)));
    BOOST_OUTCOME_TRY(ports_.internal, internal_.listen(endpoint(settings_.listenInternal)));
    return success();
}

void Network::wake()
{
    if (!woken_.exchange(true))
        loop_.post([this] { takeOrders(); });
}

Routing::RequestId Network::nextRequest()
{
    return Routing::RequestId(settings_.instance.value() + '-' + bootId_ + '-' + std::to_string(++requests_));
}

void Network::reject(const Responder &responder, std::string_view port, int status, std::string_view message)
{
    noteRejected(port, status, message);
    responder.respond(rejected(status, message));
}

void Network::noteRejected(std::string_view port, int status, std::string_view reason)
{
    metrics_.add("entry_rejected_total{port=\"" + std::string(port) + "\"}");
    logger_.write(LogLevel::Warning, "request-rejected", {{"port", port}, {"status", status}, {"reason", reason}});
}

void Network::handleCaller(Request request, const Responder &responder)
{
    CallerRequest parsed = readCallerRequest(request);
    if (const auto *rejection = std::get_if<Rejection>(&parsed))
        reject(responder, "callers", rejection->status, rejection->message);
    else if (const auto *outcome = std::get_if<OutcomeRequest>(&parsed))
        handleOutcome(outcome->key, responder);
    else
        handleService(std::move(std::get<ServiceRequest>(parsed)), std::move(request), responder);
}

void Network::handleService(ServiceRequest parsed, Request request, const Responder &responder)
{
    const ServiceRules rules = configuration_.rules(parsed.service);
    if (rules.maxBodyBytes > 0 && request.body.size() > rules.maxBodyBytes)
        return reject(responder, "callers", 413, "the body is larger than configured for the service");
    if (const std::string_view reason = configuration_.obstacle(); !reason.empty())
        return responder.respond(notNow(reason));
    if (!proxy_.hasRoomFor(request.body.size()))
        return responder.respond(notNow("the entry holds too much content"));
    Duration timeout = rules.timeout > Duration::zero() ? rules.timeout : settings_.limits.defaultRequestTimeout;
    if (parsed.timeout > Duration::zero())
        timeout = std::min(timeout, parsed.timeout);
    const Routing::RequestId id = nextRequest();
    if (!offer(proxy_.accept(id, std::move(parsed), std::move(request), timeout, responder)))
        proxy_.refuse(id);
}

void Network::handleOutcome(const std::string &key, const Responder &responder)
{
    zones_.askOutcome(configuration_.homeZone(key, settings_.zone), key,
                      [responder](const Result<Wire::ZoneResult> &result) {
                          if (!result)
                              responder.respond({503, {{"Retry-After", "1"}}, result.error().message + '\n'});
                          else if (result.value().record().key().empty())
                              responder.respond(rejected(404, "no request with this key is on record"));
                          else
                              responder.respond(outcomeOf(result.value().record()));
                      });
}

void Network::handleMinion(const Request &request, const Responder &responder)
{
    constexpr std::string_view path = "/v1/minions";
    const std::string_view target = request.target;
    if (auto page = statusPage(request, obstacle(), metrics_))
        return responder.respond(std::move(*page));
    if (target == path && request.method == "POST")
        return announced(request, responder);
    if (request.method == "DELETE" && target.starts_with(path) && target.size() > path.size() + 1
        && target[path.size()] == '/') {
        const MinionId minion(target.substr(path.size() + 1));
        logger_.write(LogLevel::Info, "minion-leaving", {{"minion", minion.value()}});
        minionsLeft_.insert(minion);
        deliver(MinionLeft{minion});
        return responder.respond({200, {}, "{}\n"});
    }
    reject(responder, "minions", 404, "only POST /v1/minions and DELETE /v1/minions/<id> are served here");
}

void Network::announced(const Request &request, const Responder &responder)
{
    auto announcement = readAnnouncement(request.body);
    if (!announcement)
        return reject(responder, "minions", 400, announcement.error().message);
    std::vector<std::string> entries = peers_.minionAddresses();
    if (!draining_)
        entries.push_back(self().minions());
    minionsLeft_.erase(announcement.value().id);
    deliver(std::move(announcement.value()));
    responder.respond({200, {{"Content-Type", "application/json"}}, announcementAnswer(entries)});
}

void Network::handleInternal(const Request &request, const Responder &responder)
{
    if (auto page = statusPage(request, obstacle(), metrics_))
        responder.respond(std::move(*page));
    else if (request.target == "/entry/forward")
        handleForward(request, responder);
    else if (request.target == "/entry/announce")
        handleAnnounce(request, responder);
    else
        reject(responder, "internal", 404, "unknown path");
}

void Network::handleForward(const Request &request, const Responder &responder)
{
    Wire::ForwardedRequest forwarded;
    if (!forwarded.ParseFromString(request.body) || forwarded.timeout_ms() <= 0)
        return reject(responder, "internal", 400, "not a forwarded request");
    if (const std::string_view reason = configuration_.obstacle(); !reason.empty())
        return responder.respond(notNow(reason));
    if (!proxy_.hasRoomFor(forwarded.body().size()))
        return responder.respond(notNow("the entry holds too much content"));
    const Routing::RequestId id = nextRequest();
    if (!offer(proxy_.acceptForwarded(id, forwarded, responder)))
        proxy_.refuse(id);
}

void Network::handleAnnounce(const Request &request, const Responder &responder)
{
    Wire::EntryAnnounce announce;
    if (!announce.ParseFromString(request.body) || announce.entry().id().empty())
        return reject(responder, "internal", 400, "not an announcement of an entry");
    for (const std::string &minion : announce.minions_left())
        deliver(MinionLeft{MinionId(minion)});
    deliver(toPeerReport(announce));
    responder.respond({200, {}, {}});
}

void Network::deliver(Event event)
{
    flush();
    if (!undelivered_.empty() || !events_.tryPush(event))
        undelivered_.push_back(std::move(event));
    if (!undelivered_.empty())
        flushTimer_ = loop_.callAfter(flushInterval, [this] { flush(); });
}

bool Network::offer(Event event)
{
    flush();
    return undelivered_.empty() && events_.tryPush(std::move(event));
}

void Network::flush()
{
    while (!undelivered_.empty() && events_.tryPush(undelivered_.front()))
        undelivered_.pop_front();
    if (!undelivered_.empty())
        flushTimer_ = loop_.callAfter(flushInterval, [this] { flush(); });
}

void Network::takeOrders()
{
    woken_ = false;
    while (auto order = orders_.tryPop()) {
        if (auto *status = std::get_if<Status>(&*order))
            status_ = std::move(*status);
        else
            proxy_.execute(*order);
    }
    metrics_.set("entry_open_requests", static_cast<double>(status_.openRequests));
    metrics_.set("entry_queued_requests", static_cast<double>(status_.queuedRequests));
    metrics_.set("entry_usable_minions", static_cast<double>(status_.usableMinions));
    scheduleTick();
}

void Network::scheduleTick()
{
    if (status_.nextTick == tickAt_)
        return;
    tickAt_ = status_.nextTick;
    const Duration wait = std::max<Duration>(tickAt_ - EventLoop::now(), 1ms);
    tickTimer_ = loop_.callAfter(wait, [this] {
        tickAt_ = TimePoint::max();
        deliver(Tick{});
    });
}

std::string_view Network::obstacle() const
{
    if (draining_)
        return "draining";
    if (const std::string_view reason = configuration_.obstacle(); !reason.empty())
        return reason;
    if (!settlement_.isSettled(settings_.zone))
        return "waits until the claims of its previous start are settled";
    if (status_.usableMinions == 0 && EventLoop::now() - started_ < warmUpLimit)
        return "waits for the announcements of the minions";
    return {};
}

} // namespace Pistachio::Entrynode
