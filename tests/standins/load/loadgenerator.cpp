#include "loadgenerator.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Pistachio::LoadGenerator
{

using namespace Transport;

namespace
{
constexpr Duration readinessInterval = 200ms;
constexpr Duration readinessTimeout = 500ms;
constexpr Duration pauseBeforeSendingAgain = 100ms;
/// With all entries down for a moment, a caller waits 5 s in total.
constexpr int mostTries = 50;
constexpr std::uint64_t percent = 100;
} // namespace

LoadGenerator::LoadGenerator(EventLoop &loop, Options options, std::function<void()> finished)
    : loop_(loop)
    , options_(std::move(options))
    , finished_(std::move(finished))
    , client_(loop, {})
    , ready_(options_.entries.size(), false)
{
}

void LoadGenerator::start()
{
    end_ = EventLoop::now() + options_.time;
    checkReadiness();
    for (std::uint64_t caller = 0; caller < options_.parallel; ++caller)
        next(caller);
}

void LoadGenerator::checkReadiness()
{
    for (std::size_t index = 0; index < options_.entries.size(); ++index) {
        client_.call(
            options_.entries[index].health, {"GET", "/readyz", {}, {}}, readinessTimeout,
            [this, index](const CallResult &result) { ready_[index] = result && result.value().status == 200; });
    }
    readinessTimer_ = loop_.callAfter(readinessInterval, [this] { checkReadiness(); });
}

void LoadGenerator::next(std::uint64_t caller)
{
    const bool over = (options_.requests > 0 && begun_ >= options_.requests) || EventLoop::now() >= end_;
    if (over) {
        if (running_ == 0)
            finished_();
        return;
    }
    ++running_;
    Call call;
    call.number = ++begun_;
    call.caller = caller;
    call.idempotent = call.number % percent >= options_.nonIdempotentPercent;
    send(call);
}

Request LoadGenerator::request(const Call &call) const
{
    const std::string number = std::to_string(call.number);
    Request result{"POST", "/s/" + options_.service + "/item/" + number, {}, "body of " + number};
    result.headers.push_back({"Pistachio-Caller", "caller-" + std::to_string(call.caller)});
    if (!call.idempotent) {
        result.headers.push_back({"Pistachio-Repeatable", "no"});
        result.headers.push_back({"Idempotency-Key", "load-" + number});
    }
    return result;
}

void LoadGenerator::send(const Call &call)
{
    for (std::size_t count = 0; count < ready_.size(); ++count) {
        const std::size_t index = nextEntry_++ % ready_.size();
        if (!ready_[index])
            continue;
        client_.call(options_.entries[index].callers, request(call), options_.timeout,
                     [this, call](const CallResult &result) { answered(call, result); });
        return;
    }
    ++counts_["no_entry_ready"];
    sendAgain(call);
}

void LoadGenerator::sendAgain(Call call)
{
    if (++call.tries > mostTries) {
        ++counts_["gave_up"];
        ended(call);
        return;
    }
    const std::uint64_t id = ++timerCount_;
    timers_[id] = loop_.callAfter(pauseBeforeSendingAgain, [this, id, call] {
        send(call);
        loop_.post([this, id] { timers_.erase(id); });
    });
}

void LoadGenerator::answered(Call call, const CallResult &result)
{
    if (!result) {
        // Nothing was written, so another entry may get it; a load balancer does the same.
        if (!result.error().written) {
            ++counts_["not_written"];
            return sendAgain(call);
        }
        ++counts_["broken"];
        return ended(call);
    }
    const Response &response = result.value();
    const std::string_view outcome = headerValue(response.headers, "Pistachio-Outcome");
    ++counts_["outcome_" + std::string(outcome.empty() ? "missing" : outcome)];
    if (response.status == 503 && outcome == "not-run") {
        ++counts_["refused"];
        return sendAgain(call);
    }
    const std::string number = std::to_string(call.number);
    if (response.status != 200)
        ++counts_["status_" + std::to_string(response.status)];
    else if (response.body == "POST /item/" + number + " body of " + number)
        ++counts_["ok"];
    else
        ++counts_["wrong_answer"];
    ended(call);
}

void LoadGenerator::ended(const Call &call)
{
    --running_;
    const std::uint64_t id = ++timerCount_;
    timers_[id] = loop_.callAfter(options_.pause, [this, id, caller = call.caller] {
        next(caller);
        loop_.post([this, id] { timers_.erase(id); });
    });
}

bool LoadGenerator::succeeded() const
{
    const auto ok = counts_.find("ok");
    return ok != counts_.end() && ok->second == begun_ && begun_ > 0;
}

std::string LoadGenerator::report() const
{
    nlohmann::json result(counts_);
    result["requests"] = begun_;
    return result.dump();
}

} // namespace Pistachio::LoadGenerator
