#include "platform/operatorclient.h"

#include "platform/jsonfields.h"

#include <nlohmann/json.hpp>

namespace Pistachio::Standin
{

namespace
{

constexpr Duration patience = 1s;

} // namespace

OperatorClient::OperatorClient(Transport::EventLoop &loop)
    : client_(loop, {})
{
}

void OperatorClient::replace(const Transport::Endpoint &control, const std::string &document, Replaced replaced)
{
    Transport::Request request;
    request.method = "POST";
    request.target = "/pistachioworks/config/replace";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = document;
    client_.call(control, std::move(request), patience,
                 [replaced = std::move(replaced)](const Transport::CallResult &result) {
                     replaced(result ? result.value().status : 0);
                 });
}

void OperatorClient::read(const Transport::Endpoint &control, Read read)
{
    Transport::Request request;
    request.target = "/pistachioworks/config/read";
    client_.call(control, std::move(request), patience, [read = std::move(read)](const Transport::CallResult &result) {
        if (!result || result.value().status != 200) {
            read(std::nullopt);
            return;
        }
        const auto body = Platform::parseObject(result.value().body);
        const auto version = body ? Platform::JsonFields(body.value()).integer("version") : 0;
        read(version > 0 ? std::optional(static_cast<std::uint64_t>(version)) : std::nullopt);
    });
}

} // namespace Pistachio::Standin
