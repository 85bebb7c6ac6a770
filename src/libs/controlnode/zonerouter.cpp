#include "controlnode/zonerouter.h"

#include <entry.pb.h>
#include <zone.pb.h>

#include <charconv>
#include <utility>

namespace Pistachio::Controlnode
{

using namespace Transport;

namespace
{

constexpr std::string_view zoneHeader = "pistachio-zone";
constexpr std::string_view hopsHeader = "pistachio-hops";
constexpr std::string_view leaderHeader = "pistachio-leader";
constexpr std::string_view proposePath = "/zone/propose";
constexpr std::string_view subscribePath = "/zone/subscribe";
constexpr std::string_view outcomePath = "/zone/outcome";
constexpr int mostHops = 2; ///< to an instance of the zone, and from there to its leader
constexpr Duration forwardLimit = 4s; ///< above the long poll of 3 s

Wire::ZoneResult result(Wire::ZoneResultCode code, std::string message)
{
    Wire::ZoneResult answer;
    answer.set_code(code);
    answer.set_message(std::move(message));
    return answer;
}

Response toResponse(const Wire::ZoneResult &answer)
{
    return {200, {}, answer.SerializeAsString()};
}

int hopsOf(const Request &request)
{
    const auto text = headerValue(request.headers, hopsHeader);
    int hops = 0;
    std::from_chars(text.data(), text.data() + text.size(), hops);
    return hops;
}

/// \return the answer to a request of which it is not known whether the zone leader carried it out.
Response failedForward(std::string_view path, const CallError &error)
{
    if (path != proposePath)
        return {503, {}, error.error.message + '\n'};
    if (!error.written)
        return toResponse(result(Wire::ZONE_RESULT_UNAVAILABLE, error.error.message));
    return toResponse(result(Wire::ZONE_RESULT_IN_DOUBT, error.error.message));
}

} // namespace

ZoneRouter::ZoneRouter(ZoneId ownZone, const Zones &zones, const Directory &directory, PeerCalls &calls)
    : ownZone_(std::move(ownZone))
    , zones_(zones)
    , directory_(directory)
    , calls_(calls)
{
}

ZoneId ZoneRouter::zoneOf(const Request &request) const
{
    const auto named = headerValue(request.headers, zoneHeader);
    return named.empty() ? ownZone_ : ZoneId(named);
}

ZoneHost *ZoneRouter::led(const ZoneId &zone) const
{
    const auto found = zones_.find(zone);
    if (found == zones_.end() || !found->second->host().group().isLeaderWithState())
        return nullptr;
    return found->second.get();
}

const Directory::Instance *ZoneRouter::leaderOf(const ZoneId &zone) const
{
    const auto found = zones_.find(zone);
    if (found == zones_.end() || found->second->host().group().isLeader())
        return nullptr;
    return directory_.find(found->second->host().group().leaderHint());
}

void ZoneRouter::serveInternal(TimePoint now, Request request, const Responder &responder)
{
    const auto zone = zoneOf(request);
    if (auto *host = led(zone))
        serveHere(now, *host, request, responder);
    else
        forward(now, zone, std::move(request), responder);
}

void ZoneRouter::serveHere(TimePoint now, ZoneHost &zone, const Request &request, const Responder &responder)
{
    if (request.target == subscribePath) {
        zone.configurationPoll(now, request.body, responder);
        return;
    }
    if (request.target == outcomePath) {
        Wire::OutcomeQuery query;
        if (!query.ParseFromString(request.body)) {
            responder.respond({400, {}, "not an outcome query\n"});
            return;
        }
        if (!zone.host().canAnswer(now)) {
            responder.respond({503, {}, "the zone has no leader with a quorum\n"});
            return;
        }
        auto answer = result(Wire::ZONE_RESULT_ACCEPTED, {});
        if (const auto *record = zone.state().requests().find(query.key()))
            *answer.mutable_record() = *record;
        responder.respond(toResponse(answer));
        return;
    }
    Wire::ZoneCommand command;
    if (!command.ParseFromString(request.body)) {
        responder.respond({400, {}, "not a zone command\n"});
        return;
    }
    zone.propose(now, std::move(command),
                 [responder](const Wire::ZoneResult &answer) { responder.respond(toResponse(answer)); });
}

void ZoneRouter::forward(TimePoint now, const ZoneId &zone, Request request, const Responder &responder)
{
    const int hops = hopsOf(request);
    const auto *target = leaderOf(zone);
    if (!target && !zones_.contains(zone))
        target = directory_.anyOf(zone, attempts_++);
    if (!target || hops >= mostHops) {
        const auto text = "no leader of zone " + zone.value() + " is known";
        if (request.target == proposePath)
            responder.respond(toResponse(result(Wire::ZONE_RESULT_UNAVAILABLE, text)));
        else
            responder.respond({503, {}, text + '\n'});
        return;
    }
    const auto path = request.target;
    request.headers = {{std::string(zoneHeader), zone.value()}, {std::string(hopsHeader), std::to_string(hops + 1)}};
    calls_.call(now, target->internal, std::move(request), forwardLimit, [responder, path](CallResult answer) {
        if (answer)
            responder.respond(std::move(answer.value()));
        else
            responder.respond(failedForward(path, answer.error()));
    });
}

void ZoneRouter::serveWorker(TimePoint now, const Request &request, const Responder &responder)
{
    if (request.method != "POST" || request.target != "/v1/worker/sync") {
        responder.respond({404, {}, "only POST /v1/worker/sync is served here\n"});
        return;
    }
    const auto zone = zoneOf(request);
    if (auto *host = led(zone)) {
        host->workerSync(now, request.body, responder);
        return;
    }
    Response response{421, {}, "this instance does not lead the zone\n"};
    if (const auto *leader = leaderOf(zone))
        response.headers.push_back({std::string(leaderHeader), leader->worker.toString()});
    responder.respond(std::move(response));
}

void ZoneRouter::propose(TimePoint now, const ZoneId &zone, const Wire::ZoneCommand &command,
                         const ZoneHost::ZoneDone &done)
{
    Request request{
        "POST", std::string(proposePath), {{std::string(zoneHeader), zone.value()}}, command.SerializeAsString()};
    serveInternal(now, std::move(request), Responder([done](const Response &response) {
                      Wire::ZoneResult answer;
                      if (response.status != 200 || !answer.ParseFromString(response.body))
                          answer = result(Wire::ZONE_RESULT_UNAVAILABLE, response.body);
                      done(answer);
                  }));
}

} // namespace Pistachio::Controlnode
