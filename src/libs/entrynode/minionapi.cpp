#include "entrynode/minionapi.h"

#include "transport/message.h"

#include <nlohmann/json.hpp>

namespace Pistachio::Entrynode
{

namespace
{

constexpr std::size_t longestName = 128;
constexpr std::uint32_t mostSlots = 10'000;

Result<std::string> readName(const nlohmann::json &content, const char *name)
{
    const auto value = content.find(name);
    if (value == content.end() || !value->is_string())
        return failure(ErrorCode::InvalidArgument, std::string(name) + " must be a string");
    std::string text = value->get<std::string>();
    if (text.empty() || text.size() > longestName || text.find_first_of("/ ") != std::string::npos)
        return failure(ErrorCode::InvalidArgument, std::string(name) + " must have 1 to 128 characters, no / or space");
    return text;
}

Result<std::uint32_t> readCount(const nlohmann::json &content, const char *name, std::uint32_t fallback,
                                std::uint32_t lowest)
{
    const auto value = content.find(name);
    if (value == content.end())
        return fallback;
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() > mostSlots || value->get<std::uint64_t>() < lowest)
        return failure(ErrorCode::InvalidArgument,
                       std::string(name) + " must be a number from " + std::to_string(lowest) + " to 10000");
    return value->get<std::uint32_t>();
}

} // namespace

Result<Routing::MinionAnnouncement> readAnnouncement(std::string_view body)
{
    const nlohmann::json content = nlohmann::json::parse(body, nullptr, false);
    if (!content.is_object())
        return failure(ErrorCode::InvalidArgument, "the body must be a JSON object");
    Routing::MinionAnnouncement result;
    BOOST_OUTCOME_TRY(const std::string id, readName(content, "id"));
    BOOST_OUTCOME_TRY(const std::string service, readName(content, "service"));
    BOOST_OUTCOME_TRY(result.address, readName(content, "address"));
    BOOST_OUTCOME_TRY(result.slots, readCount(content, "slots", result.slots, 1));
    BOOST_OUTCOME_TRY(result.connections, readCount(content, "connections", result.connections, 1));
    BOOST_OUTCOME_TRY(result.slotsInUse, readCount(content, "slots_in_use", 0, 0));
    result.id = MinionId(id);
    result.service = ServiceId(service);
    if (const auto endpoint = Transport::Endpoint::parse(result.address); !endpoint)
        return endpoint.assume_error();
    return result;
}

std::string announcementAnswer(const std::vector<std::string> &entries)
{
    return nlohmann::json{{"entries", entries}}.dump() + '\n';
}

} // namespace Pistachio::Entrynode
