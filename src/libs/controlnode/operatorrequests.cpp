#include "controlnode/operatorrequests.h"

#include "operatorapi/proposalfailure.h"
#include "transport/eventloop.h"

#include <cell.pb.h>
#include <zone.pb.h>

#include <chrono>
#include <utility>

namespace Pistachio::Controlnode
{

using namespace Transport;

namespace
{

constexpr Duration proposalLimit = 5s;
constexpr Duration forwardLimit = 7s; ///< above the limits of a proposal and of the reports

Response toResponse(Operatorapi::Answer answer)
{
    Response response{static_cast<int>(answer.status), {}, std::move(answer.body)};
    for (auto &[name, value] : answer.headers)
        response.headers.push_back({std::move(name), std::move(value)});
    return response;
}

/// \return the answer to a request that this instance could not carry out.
Response failedResponse(ErrorCode code, const Request &request, std::string message)
{
    const auto requestId = headerValue(request.headers, "Request-Id");
    auto response = toResponse(Operatorapi::proposalFailure({code, std::move(message)}, requestId, {}));
    response.headers.push_back({"Retry-After", "1"});
    return response;
}

bool isRead(const Request &request)
{
    return request.method == "GET" || request.method == "HEAD";
}

Operatorapi::Request toApi(const Request &request)
{
    using namespace std::chrono;
    Operatorapi::Request result{request.method,
                                request.target,
                                {},
                                request.body,
                                duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count()};
    for (const auto &header : request.headers)
        result.headers.emplace_back(header.name, header.value);
    return result;
}

Error toError(const Wire::ZoneResult &result)
{
    const auto code = result.code() == Wire::ZONE_RESULT_IN_DOUBT ? ErrorCode::Unknown : ErrorCode::Unavailable;
    return failure(code, result.message());
}

} // namespace

OperatorRequests::OperatorRequests(const Cellstate::CellState &state, Storage::GroupHost &cell, ClusterReports &reports,
                                   ZoneRouter &zones, const Directory &directory, PeerCalls &calls)
    : api_(state, reports)
    , cell_(cell)
    , reports_(reports)
    , zones_(zones)
    , directory_(directory)
    , calls_(calls)
{
}

void OperatorRequests::serve(TimePoint now, Request request, bool forwarded, const Responder &responder)
{
    const bool leads = cell_.canAnswer(now);
    if (!leads && !forwarded && directory_.find(cell_.group().leaderHint()) && !cell_.group().isLeader()) {
        forward(now, std::move(request), responder);
        return;
    }
    if (!leads && (forwarded || !isRead(request))) {
        responder.respond(failedResponse(ErrorCode::Unavailable, request, "the cell has no leader with a quorum here"));
        return;
    }
    reports_.refresh(
        now, [this, request = std::move(request), stale = !leads, responder] { answer(request, stale, responder); });
}

void OperatorRequests::forward(TimePoint now, Request request, const Responder &responder)
{
    const auto *leader = directory_.find(cell_.group().leaderHint());
    auto forwarded = request;
    forwarded.target = "/operator" + request.target;
    calls_.call(
        now, leader->internal, std::move(forwarded), forwardLimit,
        [this, request = std::move(request), responder](CallResult result) {
            if (result) {
                responder.respond(std::move(result.value()));
            } else if (isRead(request)) {
                reports_.refresh(EventLoop::now(), [this, request, responder] { answer(request, true, responder); });
            } else if (result.error().written) {
                responder.respond(failedResponse(ErrorCode::Unknown, request, "the cell leader's answer was lost"));
            } else {
                responder.respond(failedResponse(ErrorCode::Unavailable, request, "the cell leader can't be reached"));
            }
        });
}

void OperatorRequests::answer(const Request &request, bool stale, const Responder &responder)
{
    auto handling = api_.handle(toApi(request));
    if (auto *ready = std::get_if<Operatorapi::Answer>(&handling)) {
        auto response = toResponse(std::move(*ready));
        if (stale)
            response.headers.push_back({"Pistachio-Stale", "true"});
        responder.respond(std::move(response));
    } else if (const auto *change = std::get_if<Operatorapi::CellProposal>(&handling)) {
        carryOut(*change, responder);
    } else {
        carryOut(std::get<Operatorapi::ZoneProposal>(handling), responder);
    }
}

void OperatorRequests::carryOut(const Operatorapi::CellProposal &proposal, const Responder &responder)
{
    const auto now = EventLoop::now();
    if (!cell_.canAnswer(now)) {
        const auto error = failure(ErrorCode::Unavailable, "the cell has no leader with a quorum here");
        responder.respond(toResponse(proposal.failed(error)));
        return;
    }
    cell_.propose(now, proposal.command->SerializeAsString(), proposalLimit,
                  [proposal, responder](const Result<std::string> &answer) {
                      Wire::CellResult result;
                      if (!answer)
                          responder.respond(toResponse(proposal.failed(answer.error())));
                      else if (result.ParseFromString(answer.value()))
                          responder.respond(toResponse(proposal.answer(result)));
                      else
                          responder.respond(
                              toResponse(proposal.failed(failure(ErrorCode::Unknown, "the result can't be read"))));
                  });
}

void OperatorRequests::carryOut(const Operatorapi::ZoneProposal &proposal, const Responder &responder)
{
    zones_.propose(
        EventLoop::now(), proposal.zone, *proposal.command, [proposal, responder](const Wire::ZoneResult &result) {
            const bool ended
                = result.code() == Wire::ZONE_RESULT_ACCEPTED || result.code() == Wire::ZONE_RESULT_REFUSED;
            responder.respond(toResponse(ended ? proposal.answer(result) : proposal.failed(toError(result))));
        });
}

} // namespace Pistachio::Controlnode
