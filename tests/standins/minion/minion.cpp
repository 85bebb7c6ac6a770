#include "minion.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Pistachio::StandinMinion
{

using namespace Transport;

namespace
{
constexpr Duration announceInterval = 2s;
constexpr Duration announceTimeout = 1s;
/// Requests that entries sent before they heard of the leaving are still answered, with a refusal.
constexpr Duration leaveTime = 4s;
constexpr Duration newWorkLimit = 2s; ///< after it, an attempt is counted as a violation
constexpr Duration idleCheck = 50ms;
constexpr std::uint64_t percent = 100;

Response refusal(const char *reason)
{
    return {503, {{"Pistachio-Refused", reason}}, std::string("refused: ") + reason + '\n'};
}
} // namespace

Minion::Minion(EventLoop &loop, Options options, std::function<void()> stopped)
    : loop_(loop)
    , options_(std::move(options))
    , stopped_(std::move(stopped))
    , server_(loop, options_.connections,
              [this](const Request &request, const Reply &reply) { handle(request, reply); })
    , client_(loop, {})
    , entries_(options_.entries)
{
}

Result<std::uint16_t> Minion::start()
{
    BOOST_OUTCOME_TRY(const std::uint16_t port, server_.listen());
    address_ = Endpoint{"127.0.0.1", port}.toString();
    announce();
    return port;
}

void Minion::announce()
{
    const std::string body
        = nlohmann::json{{"id", options_.id},       {"service", options_.service},         {"address", address_},
                         {"slots", options_.slots}, {"connections", options_.connections}, {"slots_in_use", inUse_}}
              .dump();
    for (const Endpoint &entry : entries_) {
        client_.call(entry, {"POST", "/v1/minions", {{"Content-Type", "application/json"}}, body}, announceTimeout,
                     [this, entry](const CallResult &result) {
                         // An entry that is gone is announced again by the others when it returns.
                         if (!result || result.value().status != 200) {
                             if (!options_.entries.contains(entry))
                                 entries_.erase(entry);
                             return;
                         }
                         const auto answer = nlohmann::json::parse(result.value().body, nullptr, false);
                         if (!answer.is_object() || !answer.contains("entries"))
                             return;
                         for (const auto &address : answer["entries"]) {
                             if (const auto endpoint = Endpoint::parse(address.get<std::string>()))
                                 entries_.insert(endpoint.value());
                         }
                     });
    }
    announceTimer_ = loop_.callAfter(announceInterval, [this] { announce(); });
}

void Minion::handle(const Request &request, const Reply &reply)
{
    if (leaving_ || inUse_ >= options_.slots) {
        ++refused_;
        if (leaving_ && EventLoop::now() - leftAt_ > newWorkLimit)
            ++attemptsAfterLeaving_;
        reply(refusal(leaving_ ? "leaving" : "slots"), false);
        return;
    }
    ++runs_;
    mostInUse_ = std::max(mostInUse_, ++inUse_);
    const std::string_view key = headerValue(request.headers, "Idempotency-Key");
    if (!key.empty())
        ++runsByKey_[std::string(key)];
    const std::uint64_t id = ++workCount_;
    work_[id] = loop_.callAfter(options_.workTime, [this, id, request, reply] {
        --inUse_;
        answer(request, reply);
        loop_.post([this, id] { work_.erase(id); });
    });
}

void Minion::answer(const Request &request, const Reply &reply)
{
    if (runs_ % percent < options_.failPercent)
        return reply({500, {}, "failed\n"}, false);
    // The body names the request, so that a caller can tell that the answer is its own.
    const Response response{
        200, {{"Content-Type", "text/plain"}}, request.method + ' ' + request.target + ' ' + request.body};
    reply(response, runs_ % percent < options_.truncatePercent);
}

void Minion::leave()
{
    if (leaving_)
        return;
    leaving_ = true;
    leftAt_ = EventLoop::now();
    announceTimer_.cancel();
    for (const Endpoint &entry : entries_)
        client_.call(entry, {"DELETE", "/v1/minions/" + options_.id, {}, {}}, announceTimeout,
                     [](const CallResult &) {});
    stopTimer_ = loop_.callAfter(leaveTime, [this] { stopWhenIdle(); });
}

void Minion::stopWhenIdle()
{
    if (inUse_ > 0) {
        stopTimer_ = loop_.callAfter(idleCheck, [this] { stopWhenIdle(); });
        return;
    }
    server_.close();
    stopped_();
}

std::string Minion::report() const
{
    std::uint64_t repeated = 0;
    for (const auto &[key, runs] : runsByKey_)
        repeated += runs > 1 ? 1 : 0;
    return nlohmann::json{{"id", options_.id},
                          {"runs", runs_},
                          {"refused", refused_},
                          {"most_slots_in_use", mostInUse_},
                          {"keys", runsByKey_.size()},
                          {"keys_run_twice", repeated},
                          {"attempts_2s_after_leaving", attemptsAfterLeaving_}}
        .dump();
}

} // namespace Pistachio::StandinMinion
