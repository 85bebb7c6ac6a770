#include "pistachioctl/controlclient.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace Pistachio::Pistachioctl
{

namespace
{

using Transport::Endpoint;

// Five rounds with pauses of a second outlast the election of a new leader, which takes at most 3.7 s.
constexpr int rounds = 5;
constexpr Duration pauseBetweenRounds = 1s;
constexpr int followedLeaders = 3;

constexpr int notLeader = 421;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int resultUnknown = 504;
constexpr int internalError = 500;

// The message of a failure, or the start of a body in another form.
std::string statusText(const Transport::Response &response)
{
    constexpr std::size_t shownBytes = 300;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    const bool hasMessage = body.is_object() && body.contains("message") && body["message"].is_string();
    return "status " + std::to_string(response.status) + ", "
        + (hasMessage ? body["message"].get<std::string>() : response.body.substr(0, shownBytes));
}

// Lists what happened at an address once, however often it was tried.
void note(Reply &reply, const Endpoint &endpoint, std::string what)
{
    const std::string address = endpoint.toString();
    std::string line = what.starts_with(address) ? std::move(what) : address + ": " + what;
    if (std::ranges::find(reply.attempts, line) == reply.attempts.end())
        reply.attempts.push_back(std::move(line));
}

} // namespace

ControlClient::ControlClient(Caller &caller, std::vector<Endpoint> controls)
    : caller_(caller)
    , controls_(std::move(controls))
{
}

Reply ControlClient::send(const Transport::Request &request)
{
    Reply reply;
    mayHaveChanged_ = false;
    for (int round = 0; round < rounds; ++round) {
        if (round > 0)
            caller_.pause(pauseBetweenRounds);
        for (const Endpoint &control : controls_) {
            if (attemptAndFollow(control, request, reply))
                return reply;
        }
    }
    reply.outcome = mayHaveChanged_ ? Reply::Outcome::Unknown : Reply::Outcome::Unavailable;
    return reply;
}

bool ControlClient::attemptAndFollow(const Endpoint &endpoint, const Transport::Request &request, Reply &reply)
{
    Endpoint next = endpoint;
    for (int followed = 0; followed <= followedLeaders; ++followed) {
        if (!attempt(next, request, reply))
            return false;
        if (reply.response.status != notLeader)
            return true;
        const std::string leader(Transport::headerValue(reply.response.headers, "Pistachio-Leader"));
        note(reply, next, "is not the leader and names '" + leader + "'");
        const auto parsed = Endpoint::parse(leader);
        if (parsed.has_error())
            return false;
        next = parsed.value();
    }
    return false;
}

// Returns whether there is a response that decides the request or names a leader.
bool ControlClient::attempt(const Endpoint &endpoint, const Transport::Request &request, Reply &reply)
{
    const bool isChange = request.method != "GET";
    auto result = caller_.call(endpoint, request);
    if (result.has_error()) {
        mayHaveChanged_ = mayHaveChanged_ || (isChange && result.error().written);
        note(reply, endpoint,
             result.error().error.message + (result.error().written ? " (after the request was sent)" : ""));
        return false;
    }
    const int status = result.value().status;
    if (status == unavailable || status == resultUnknown || status == badGateway || status == internalError) {
        mayHaveChanged_ = mayHaveChanged_ || (isChange && status != unavailable);
        note(reply, endpoint, statusText(result.value()));
        return false;
    }
    reply.outcome = Reply::Outcome::Answered;
    reply.response = std::move(result.value());
    return true;
}

} // namespace Pistachio::Pistachioctl
