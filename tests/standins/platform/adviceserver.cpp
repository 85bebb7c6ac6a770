#include "platform/adviceserver.h"

#include "platform/jsonfields.h"
#include "platform/taskformat.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <functional>
#include <sstream>

namespace Pistachio::Standin
{

using nlohmann::json;
using Transport::EventLoop;

namespace
{

constexpr char separator = '/';

} // namespace

AdviceServer::AdviceServer(EventLoop &loop, Duration validity)
    : validity_(validity)
    , server_(loop, {},
              [this](const Transport::Request &request, const auto &responder) { answer(request, responder); })
{
}

Result<std::uint16_t> AdviceServer::listen(const Transport::Endpoint &endpoint)
{
    return server_.listen(endpoint);
}

bool AdviceServer::allows(const std::string &step, const std::string &minion)
{
    return std::hash<std::string>{}(step + separator + minion) % 4 != 0;
}

bool AdviceServer::isValid(const Jobs::StepName &step, const std::string &minion, const std::string &ticket) const
{
    const auto name = Platform::formatStep(step);
    const auto prefix = name + separator + minion + separator;
    if (!ticket.starts_with(prefix) || !allows(name, minion))
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
    json approved = json::array();
    for (const auto &worker : fields.array("workers")) {
        const auto minion = worker.get<std::string>();
        if (!allows(step, minion))
            continue;
        std::ostringstream ticket;
        ticket << step << separator << minion << separator << EventLoop::now().time_since_epoch().count();
        approved.push_back({minion, ticket.str()});
    }
    responder.respond({200, {{"Content-Type", "application/json"}}, json{{"approved", approved}}.dump()});
}

} // namespace Pistachio::Standin
