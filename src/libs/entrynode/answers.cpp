#include "entrynode/answers.h"

#include "entrynode/callerapi.h"

#include <zone.pb.h>

#include <nlohmann/json.hpp>

#include <chrono>

namespace Pistachio::Entrynode
{

using namespace Routing;
using Transport::Response;

namespace
{

constexpr std::size_t longestStoredBody = std::size_t{64} << 10;

Response json(int status, const nlohmann::json &content)
{
    // Names and messages may hold bytes that are not UTF-8.
    return {status,
            {{"Content-Type", "application/json"}},
            content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n'};
}

std::string_view outcomeName(Wire::RequestOutcome outcome)
{
    switch (outcome) {
    case Wire::REQUEST_OUTCOME_RUN:
        return toString(Outcome::Run);
    case Wire::REQUEST_OUTCOME_NOT_RUN:
        return toString(Outcome::NotRun);
    default:
        return toString(Outcome::Unknown);
    }
}

int statusOf(const AnswerCommand &command)
{
    if (command.reason == AnswerReason::MissingKey)
        return 400;
    if (command.reason == AnswerReason::FingerprintMismatch)
        return 422;
    if (command.reason == AnswerReason::InProgress)
        return 409;
    return command.outcome == Outcome::NotRun ? 503 : 504;
}

void addIdentity(Response &response, Outcome outcome, const RequestId &request)
{
    response.headers.push_back({"Pistachio-Outcome", std::string(toString(outcome))});
    response.headers.push_back({"Pistachio-Request-Id", request.value()});
}

} // namespace

Response passedOn(Response response, const RequestId &request)
{
    response.headers = endToEnd(response.headers);
    addIdentity(response, Outcome::Run, request);
    return response;
}

Response explained(const AnswerCommand &command)
{
    Response response = json(statusOf(command),
                             {{"outcome", toString(command.outcome)},
                              {"reason", toString(command.reason)},
                              {"request", command.request.value()}});
    addIdentity(response, command.outcome, command.request);
    if (response.status == 503) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(command.retryAfter).count();
        response.headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1))});
    }
    return response;
}

Response storedAnswer(const Wire::StoredAnswer &answer, const RequestId &request)
{
    Response response;
    if (answer.body().size() == answer.body_size()) {
        response = {static_cast<int>(answer.status()), {}, answer.body()};
        if (!answer.content_type().empty())
            response.headers.push_back({"Content-Type", answer.content_type()});
    } else {
        // Part of an answer must not pass for all of it.
        response = json(410,
                        {{"outcome", "run"},
                         {"reason", "the answer was too large to be stored"},
                         {"status", answer.status()},
                         {"body_size", answer.body_size()},
                         {"body_digest", answer.body_digest()}});
    }
    addIdentity(response, Outcome::Run, request);
    response.headers.push_back({"Pistachio-Stored", "yes"});
    return response;
}

Response rejected(int status, std::string_view message)
{
    Response response = json(status, {{"outcome", "not-run"}, {"reason", message}});
    response.headers.push_back({"Pistachio-Outcome", "not-run"});
    return response;
}

Response notNow(std::string_view reason)
{
    Response response = rejected(503, reason);
    response.headers.push_back({"Retry-After", "1"});
    return response;
}

Response outcomeOf(const Wire::RequestRecord &record)
{
    nlohmann::json content{{"key", record.key()}};
    if (record.state() == Wire::REQUEST_STATE_CLAIMED) {
        content["state"] = "in-progress";
        return json(200, content);
    }
    content["state"] = "finished";
    content["outcome"] = outcomeName(record.outcome());
    if (record.has_answer()) {
        content["status"] = record.answer().status();
        content["body_size"] = record.answer().body_size();
    }
    Response response = json(200, content);
    response.headers.push_back({"Pistachio-Outcome", std::string(outcomeName(record.outcome()))});
    return response;
}

void store(const Response &response, Wire::StoredAnswer &stored)
{
    stored.set_status(static_cast<std::uint32_t>(response.status));
    stored.set_content_type(std::string(Transport::headerValue(response.headers, "Content-Type")));
    stored.set_body_size(response.body.size());
    if (response.body.size() <= longestStoredBody)
        stored.set_body(response.body);
    else
        stored.set_body_digest(fingerprint({"", "", {}, response.body}));
}

} // namespace Pistachio::Entrynode
