#include "operatorapi/answers.h"

#include "operatorapi/proposalfailure.h"

#include "cell.pb.h"
#include "zone.pb.h"

#include <nlohmann/json.hpp>

namespace Pistachio::Operatorapi::Internal
{

namespace
{

using nlohmann::json;

struct Refusal {
    unsigned status;
    std::string_view code;
    std::string_view nextStep;
};

Refusal refusalOf(Wire::CellResultCode code)
{
    switch (code) {
    case Wire::CELL_RESULT_VERSION_CONFLICT:
        return {409, "version-conflict",
                "Read the differences, bring your change up to date and send it with the version in force."};
    case Wire::CELL_RESULT_NOT_FOUND:
        return {404, "not-found", "Check the name; nothing was changed."};
    case Wire::CELL_RESULT_REQUEST_ID_REUSED:
        return {422, "request-id-reused", "Send a new change with a new Request-Id."};
    case Wire::CELL_RESULT_QUOTA_EXCEEDED:
        return {422, "quota-exceeded", "Reduce the team's bookings or raise its quota, then send a new request."};
    case Wire::CELL_RESULT_CAPACITY:
        return {422, "capacity", "Reduce what one task needs or add larger workers, then send a new request."};
    default:
        return {422, "invalid", "Correct the change and send it with a new Request-Id; nothing was changed."};
    }
}

Answer unknownResult(std::string_view requestId, std::string_view message)
{
    return failureAnswer(504, "result-unknown", message,
                         "Repeat the same request with the Request-Id '" + std::string(requestId)
                             + "'; the change is not made twice.");
}

} // namespace

Answer jsonAnswer(unsigned status, const json &body)
{
    // Text from other processes may be invalid UTF-8, on which dump() throws unless told to replace it.
    return {status,
            {{"Content-Type", "application/json"}},
            body.dump(-1, ' ', false, json::error_handler_t::replace) + '\n'};
}

Answer failureAnswer(unsigned status, std::string_view code, std::string_view message, std::string_view nextStep)
{
    return failureAnswer(status, code, message, nextStep, json::object());
}

Answer failureAnswer(unsigned status, std::string_view code, std::string_view message, std::string_view nextStep,
                     const json &details)
{
    return jsonAnswer(status, {{"code", code}, {"message", message}, {"details", details}, {"next_step", nextStep}});
}

Answer refusalAnswer(const Wire::CellResult &result)
{
    const Refusal refusal = refusalOf(result.code());
    json details = json::object();
    if (result.code() == Wire::CELL_RESULT_VERSION_CONFLICT)
        details = {{"version", result.version()}, {"author", result.author()}, {"differences", result.differences()}};
    if (!result.notes().empty())
        details["notes"] = result.notes();
    if (result.repeated_request())
        details["repeated_request"] = true;
    return failureAnswer(refusal.status, refusal.code, result.message(), refusal.nextStep, details);
}

Answer refusalAnswer(const Wire::ZoneResult &result, std::string_view requestId)
{
    switch (result.code()) {
    case Wire::ZONE_RESULT_IN_DOUBT:
        return unknownResult(requestId, "the zone did not confirm the change in time");
    case Wire::ZONE_RESULT_NOT_LEADER:
    case Wire::ZONE_RESULT_UNAVAILABLE:
        return failureAnswer(503, "unavailable", "the zone can't make changes now: " + result.message(),
                             "Nothing was changed. Try again in a few seconds.");
    default:
        return failureAnswer(409, "refused", "the zone refused the change: " + result.message(),
                             "Nothing was changed.");
    }
}

} // namespace Pistachio::Operatorapi::Internal

namespace Pistachio::Operatorapi
{

using namespace Internal;

Answer proposalFailure(const Error &error, std::string_view requestId, std::string_view leaderAddress)
{
    if (error.code == ErrorCode::NotLeader && !leaderAddress.empty()) {
        const std::string address(leaderAddress);
        Answer answer = failureAnswer(421, "not-leader", "another instance leads: " + error.message,
                                      "Send the same request to " + address + ".", {{"leader_address", address}});
        answer.headers.emplace_back("Pistachio-Leader", address);
        return answer;
    }
    if (error.code == ErrorCode::NotLeader)
        return failureAnswer(503, "no-leader", "no leader is known",
                             "Nothing was changed. Try again in a few seconds; see 'pistachioctl status' if it lasts.");
    if (error.code == ErrorCode::Unknown || error.code == ErrorCode::Timeout)
        return unknownResult(requestId, "it is not known whether the change was made: " + error.message);
    return failureAnswer(503, "unavailable", error.message, "Nothing was changed. Try again in a few seconds.");
}

} // namespace Pistachio::Operatorapi
