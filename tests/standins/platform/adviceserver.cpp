#include "platform/adviceserver.h"

#include "platform/jsonfields.h"
#include "platform/taskformat.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <sstream>
#include <utility>

namespace Pistachio::Standin
{

using nlohmann::json;
using Transport::EventLoop;

namespace
{

constexpr char separator = '/';
constexpr std::size_t deniedShare = 4; ///< one minion of so many is denied

} // namespace

AdviceServer::AdviceServer(EventLoop &loop, Duration validity, std::vector<std::string> minions,
                           std::size_t fewestAllowed)
    : validity_(validity)
    , minions_(std::move(minions))
    , fewestAllowed_(fewestAllowed)
    , server_(loop, {},
              [this](const Transport::Request &request, const auto &responder) { answer(request, responder); })
{
}

Result<std::uint16_t> AdviceServer::listen(const Transport::Endpoint &endpoint)
{
    return server_.listen(endpoint);
}

std::set<std::string> AdviceServer::allowedMinions(const std::string &step) const
{
    std::set<std::string> allowed;
    std::vector<std::pair<std::size_t, std::string>> denied;
    for (const auto &minion : minions_) {
        auto pair = step;
        pair += separator;
        pair += minion;
        const auto hash = std::hash<std::string>{}(pair);
        if (hash % deniedShare != 0)
            allowed.insert(minion);
        else
            denied.emplace_back(hash, minion);
    }
    std::sort(denied.begin(), denied.end());
    while (allowed.size() < fewestAllowed_ && !denied.empty()) {
        allowed.insert(std::move(denied.back().second));
        denied.pop_back();
    }
    return allowed;
}

bool AdviceServer::isValid(const Jobs::StepName &step, const std::string &minion, const std::string &ticket) const
{
    const auto name = Platform::formatStep(step);
    const auto prefix = name + separator + minion + separator;
    if (!ticket.starts_with(prefix) || !allowedMinions(name).contains(minion))
        return false;
    Duration::rep issued = 0;
    const auto *end = ticket.data() + ticket.size();
    const auto result = std::from_chars(ticket.data() + prefix.size(), end, issued);
    return result.ec == std::errc() && result.ptr == end
        && EventLoop::now().time_since_epoch() <= Duration(issued) + validity_;
}

void AdviceServer::answer(const Transport::Request &request, const Transport::Responder &responder)
{
    if (!isAvailable_) {
        responder.respond({429, {}, {}});
        return;
    }
    const auto body = Platform::parseObject(request.body);
    if (!body) {
        responder.respond({400, {}, {}});
        return;
    }
    Platform::JsonFields fields(body.value());
    const auto step = fields.text("stepIndex");
    const auto allowed = allowedMinions(step);
    json approved = json::array();
    for (const auto &worker : fields.array("workers")) {
        const auto minion = worker.get<std::string>();
        if (!allowed.contains(minion))
            continue;
        std::ostringstream ticket;
        ticket << step << separator << minion << separator << EventLoop::now().time_since_epoch().count();
        approved.push_back({minion, ticket.str()});
    }
    responder.respond({200, {{"Content-Type", "application/json"}}, json{{"approved", approved}}.dump()});
}

} // namespace Pistachio::Standin
