#include "entrynode/requestproxy.h"

#include "entrynode/answers.h"
#include "entrynode/claimsettlement.h"
#include "entrynode/configurationstate.h"
#include "entrynode/finishqueue.h"
#include "entrynode/peerlinks.h"
#include "entrynode/zoneclient.h"
#include "metrics/registry.h"
#include "transport/eventloop.h"

#include <entry.pb.h>
#include <zone.pb.h>

#include <algorithm>
#include <map>

namespace Pistachio::Entrynode
{

using namespace Routing;
using Transport::CallResult;
using Transport::EventLoop;

namespace
{

/// Connections to one minion. Four entries of a zone together stay within its 64.
constexpr std::size_t connectionsPerMinion = 16;
/// The other entry answers before this one gives up.
constexpr Duration forwardMargin = 20ms;

AttemptEnd endOf(const Transport::CallError &error)
{
    if (!error.written)
        return AttemptEnd::NotWritten;
    return error.error.code == ErrorCode::Timeout ? AttemptEnd::TimedOut : AttemptEnd::ConnectionLost;
}

AttemptEnd endOf(const Transport::Response &response)
{
    const std::string_view refused = Transport::headerValue(response.headers, "Pistachio-Refused");
    if (response.status != 503 || refused.empty())
        return AttemptEnd::Answered;
    return refused == "leaving" ? AttemptEnd::RefusedLeaving : AttemptEnd::RefusedSlots;
}

Wire::RequestOutcome toWire(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Run:
        return Wire::REQUEST_OUTCOME_RUN;
    case Outcome::NotRun:
        return Wire::REQUEST_OUTCOME_NOT_RUN;
    case Outcome::Unknown:
        break;
    }
    return Wire::REQUEST_OUTCOME_UNKNOWN;
}

} // namespace

/// The content of a request that is not answered yet.
struct RequestProxy::Pending {
    Transport::Responder responder;
    Transport::Request request; ///< as the minion gets it
    CallerId caller;
    ServiceId service;
    bool idempotent = true;
    bool forwarded = false;
    std::string key;
    TimePoint arrived;
    TimePoint deadline;
    std::map<AttemptId, Transport::Response> answers;
    std::unique_ptr<Wire::StoredAnswer> stored;
};

RequestProxy::RequestProxy(const Links &links, InstanceId entry, ZoneId zone, std::size_t maxBodyBytes, Deliver deliver)
    : links_(links)
    , entry_(std::move(entry))
    , zone_(std::move(zone))
    , deliver_(std::move(deliver))
{
    Transport::HttpClientLimits limits;
    limits.bodyBytes = maxBodyBytes;
    limits.connectionsPerEndpoint = connectionsPerMinion;
    minions_ = std::make_unique<Transport::HttpClient>(links.loop, limits);
}

RequestProxy::~RequestProxy()
{
    stopped_ = true;
}

RequestProxy::Pending *RequestProxy::find(const RequestId &id)
{
    const auto position = pending_.find(id);
    return position == pending_.end() ? nullptr : &position->second;
}

Request RequestProxy::accept(const RequestId &id, ServiceRequest parsed, Transport::Request request, Duration timeout,
                             Transport::Responder responder)
{
    Request event;
    event.id = id;
    event.caller = parsed.caller;
    event.service = parsed.service;
    event.idempotent = parsed.idempotent;
    event.key = parsed.key;
    if (!parsed.idempotent)
        event.fingerprint = fingerprint(request);

    Pending pending;
    pending.responder = std::move(responder);
    pending.request = std::move(request);
    pending.request.target = std::move(parsed.target);
    pending.request.headers = endToEnd(pending.request.headers);
    pending.caller = std::move(parsed.caller);
    pending.service = std::move(parsed.service);
    pending.idempotent = parsed.idempotent;
    pending.key = std::move(parsed.key);
    pending.arrived = EventLoop::now();
    pending.deadline = pending.arrived + timeout;
    event.deadline = pending.deadline;
    heldBytes_ += pending.request.body.size();
    pending_.emplace(id, std::move(pending));
    return event;
}

Request RequestProxy::acceptForwarded(const RequestId &id, const Wire::ForwardedRequest &forwarded,
                                      Transport::Responder responder)
{
    ServiceRequest parsed{ServiceId(forwarded.service()), forwarded.target(), CallerId(forwarded.caller()),
                          forwarded.idempotent(), forwarded.idempotency_key()};
    Transport::Request request{forwarded.method(), forwarded.target(), {}, forwarded.body()};
    for (const Wire::Header &header : forwarded.headers())
        request.headers.push_back({header.name(), header.value()});
    Request event = accept(id, std::move(parsed), std::move(request), std::chrono::milliseconds(forwarded.timeout_ms()),
                           std::move(responder));
    event.forwarded = true;
    event.claimed = !event.idempotent;
    pending_.at(id).forwarded = true;
    return event;
}

bool RequestProxy::hasRoomFor(std::size_t bytes) const
{
    return heldBytes_ + bytes <= mostHeldBytes;
}

void RequestProxy::refuse(const RequestId &id)
{
    answer({id, Outcome::NotRun, AnswerReason::QueueFull, {}, 1s});
}

void RequestProxy::execute(const Order &order)
{
    if (const auto *toMinion = std::get_if<SendCommand>(&order))
        send(*toMinion);
    else if (const auto *toPeer = std::get_if<ForwardCommand>(&order))
        forward(*toPeer);
    else if (const auto *toZone = std::get_if<ClaimCommand>(&order))
        claim(*toZone);
    else if (const auto *ended = std::get_if<FinishCommand>(&order))
        finish(*ended);
    else if (const auto *decided = std::get_if<AnswerCommand>(&order))
        answer(*decided);
    // A cancelled attempt keeps its connection until its timeout; its result is ignored by the decisions.
}

void RequestProxy::send(const SendCommand &command)
{
    Pending *pending = find(command.request);
    const auto endpoint = Transport::Endpoint::parse(command.address);
    if (!pending || !endpoint) {
        deliver_(AttemptResult{command.attempt, AttemptEnd::NotWritten, 0});
        return;
    }
    links_.metrics.add("entry_attempts_total");
    Transport::Request request = pending->request;
    request.headers.push_back({"Pistachio-Request-Id", command.request.value()});
    if (!pending->idempotent)
        request.headers.push_back({"Idempotency-Key", pending->key});
    minions_->call(endpoint.value(), std::move(request), std::max<Duration>(pending->deadline - EventLoop::now(), 1ms),
                   [this, id = command.request, attempt = command.attempt](CallResult result) {
                       if (!stopped_)
                           attemptEnded(id, attempt, std::move(result));
                   });
}

void RequestProxy::attemptEnded(const RequestId &request, const AttemptId &attempt, CallResult result)
{
    if (!result) {
        deliver_(AttemptResult{attempt, endOf(result.error()), 0});
        return;
    }
    const AttemptEnd end = endOf(result.value());
    const auto status = static_cast<std::uint32_t>(result.value().status);
    if (end == AttemptEnd::Answered)
        keepAnswer(request, attempt, std::move(result.value()));
    deliver_(AttemptResult{attempt, end, status});
}

void RequestProxy::keepAnswer(const RequestId &request, const AttemptId &attempt, Transport::Response response)
{
    if (Pending *pending = find(request))
        pending->answers.insert_or_assign(attempt, std::move(response));
}

void RequestProxy::forward(const ForwardCommand &command)
{
    const Pending *pending = find(command.request);
    if (!pending) {
        deliver_(AttemptResult{command.attempt, AttemptEnd::NotWritten, 0});
        return;
    }
    links_.metrics.add("entry_forwards_total");
    const Duration remaining = std::max<Duration>(pending->deadline - EventLoop::now(), 2 * forwardMargin);
    Wire::ForwardedRequest request;
    request.set_request_id(command.request.value());
    request.set_caller(pending->caller.value());
    request.set_service(pending->service.value());
    request.set_method(pending->request.method);
    request.set_target(pending->request.target);
    for (const Transport::Header &header : pending->request.headers) {
        Wire::Header &written = *request.add_headers();
        written.set_name(header.name);
        written.set_value(header.value);
    }
    request.set_body(pending->request.body);
    request.set_timeout_ms(std::chrono::duration_cast<std::chrono::milliseconds>(remaining - forwardMargin).count());
    request.set_idempotent(pending->idempotent);
    request.set_idempotency_key(pending->key);
    links_.peers.forward(command.entry, request, remaining,
                         [this, id = command.request, attempt = command.attempt](const CallResult &result) {
                             if (!stopped_)
                                 forwardEnded(id, attempt, result);
                         });
}

void RequestProxy::forwardEnded(const RequestId &request, const AttemptId &attempt, const CallResult &result)
{
    if (!result) {
        deliver_(AttemptResult{attempt, endOf(result.error()), 0});
        return;
    }
    Wire::ForwardedAnswer answer;
    if (result.value().status != 200 || !answer.ParseFromString(result.value().body)) {
        // An entry answers 503 only to what it did not take on.
        const bool notRun = result.value().status == 503;
        deliver_(AttemptResult{attempt, notRun ? AttemptEnd::PeerNotRun : AttemptEnd::ConnectionLost, 0});
        return;
    }
    AttemptEnd end = AttemptEnd::PeerUnknown;
    if (answer.outcome() == Wire::REQUEST_OUTCOME_NOT_RUN)
        end = AttemptEnd::PeerNotRun;
    if (answer.outcome() == Wire::REQUEST_OUTCOME_RUN) {
        end = AttemptEnd::Answered;
        Transport::Response response{static_cast<int>(answer.status()), {}, answer.body()};
        for (const Wire::Header &header : answer.headers())
            response.headers.push_back({header.name(), header.value()});
        keepAnswer(request, attempt, std::move(response));
    }
    deliver_(AttemptResult{attempt, end, answer.status()});
}

void RequestProxy::claim(const ClaimCommand &command)
{
    const ZoneId home = links_.configuration.homeZone(command.key, zone_);
    if (!links_.settlement.ensure(home)) {
        deliver_(ClaimResult{command.request, command.attempt, ClaimState::Unavailable});
        return;
    }
    Wire::ZoneCommand proposal;
    Wire::ClaimRequest &request = *proposal.mutable_claim_request();
    request.set_key(command.key);
    request.set_fingerprint(command.fingerprint);
    request.set_entry(entry_.value());
    request.set_attempt(command.attempt.value());
    links_.zones.propose(home, proposal, command.timeout, [this, command](const Result<Wire::ZoneResult> &result) {
        if (!stopped_)
            claimAnswered(command, result);
    });
}

void RequestProxy::claimAnswered(const ClaimCommand &command, const Result<Wire::ZoneResult> &result)
{
    ClaimState state = ClaimState::Unavailable;
    if (!result) {
        state = result.error().code == ErrorCode::Unknown ? ClaimState::Lost : ClaimState::Unavailable;
    } else {
        switch (result.value().code()) {
        case Wire::ZONE_RESULT_ACCEPTED:
            state = ClaimState::Claimed;
            break;
        case Wire::ZONE_RESULT_ALREADY_CLAIMED:
            state = takenBy(command, result.value().record());
            break;
        case Wire::ZONE_RESULT_FINGERPRINT_MISMATCH:
            state = ClaimState::FingerprintMismatch;
            break;
        default:
            break;
        }
    }
    deliver_(ClaimResult{command.request, command.attempt, state});
}

ClaimState RequestProxy::takenBy(const ClaimCommand &command, const Wire::RequestRecord &record)
{
    if (record.state() == Wire::REQUEST_STATE_CLAIMED)
        return ClaimState::InProgress;
    if (record.outcome() != Wire::REQUEST_OUTCOME_RUN)
        return ClaimState::FinishedUnknown;
    if (Pending *pending = find(command.request))
        pending->stored = std::make_unique<Wire::StoredAnswer>(record.answer());
    return ClaimState::FinishedRun;
}

void RequestProxy::finish(const FinishCommand &command)
{
    Wire::FinishRequest request;
    request.set_key(command.key);
    request.set_attempt(command.attempt.value());
    request.set_outcome(toWire(command.outcome));
    if (const Pending *pending = find(command.request)) {
        const auto answered = pending->answers.find(command.answeredBy);
        if (command.outcome == Outcome::Run && answered != pending->answers.end())
            store(answered->second, *request.mutable_answer());
    }
    links_.finishes.add(links_.configuration.homeZone(command.key, zone_), request);
}

void RequestProxy::answer(const AnswerCommand &command)
{
    const auto position = pending_.find(command.request);
    if (position == pending_.end())
        return;
    Pending pending = std::move(position->second);
    pending_.erase(position);
    heldBytes_ -= pending.request.body.size();

    Transport::Response response;
    const auto answered = pending.answers.find(command.answeredBy);
    if (command.outcome == Outcome::Run && answered != pending.answers.end())
        response = passedOn(std::move(answered->second), command.request);
    else if (command.outcome == Outcome::Run && pending.stored)
        response = storedAnswer(*pending.stored, command.request);
    else
        response = explained(command);

    if (pending.forwarded) {
        Wire::ForwardedAnswer wire;
        wire.set_outcome(toWire(command.outcome));
        wire.set_status(static_cast<std::uint32_t>(response.status));
        wire.set_reason(std::string(toString(command.reason)));
        for (const Transport::Header &header : endToEnd(response.headers)) {
            Wire::Header &written = *wire.add_headers();
            written.set_name(header.name);
            written.set_value(header.value);
        }
        wire.set_body(response.body);
        pending.responder.respond({200, {}, wire.SerializeAsString()});
        return;
    }
    links_.metrics.add("entry_requests_total{outcome=\"" + std::string(toString(command.outcome)) + "\"}");
    links_.metrics.observe("entry_request_seconds",
                           std::chrono::duration<double>(EventLoop::now() - pending.arrived).count());
    if (closing_)
        response.headers.push_back({"Connection", "close"});
    pending.responder.respond(std::move(response));
}

} // namespace Pistachio::Entrynode
