#include "entrynode/callerapi.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace Pistachio::Entrynode
{

using Transport::headerValue;

namespace
{

constexpr std::string_view servicePrefix = "/s/";
constexpr std::string_view outcomePrefix = "/v1/outcomes/";
constexpr std::size_t longestKey = 200;
constexpr std::size_t longestService = 64;
constexpr std::size_t longestCaller = 128;
constexpr std::int64_t longestTimeoutMs = 3'600'000;

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](unsigned char first, unsigned char second) {
        return std::tolower(first) == std::tolower(second);
    });
}

bool isPrintable(std::string_view text)
{
    return std::ranges::all_of(text, [](unsigned char character) { return character > ' ' && character < 0x7f; });
}

bool isName(std::string_view text, std::size_t longest)
{
    return !text.empty() && text.size() <= longest && isPrintable(text) && text.find('/') == std::string_view::npos;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// The platform's load balancer names the caller in X-Forwarded-For; a caller may name itself for a finer division.
Routing::CallerId callerOf(const Transport::Request &request)
{
    std::string_view name = headerValue(request.headers, "Pistachio-Caller");
    if (name.empty())
        name = trim(headerValue(request.headers, "X-Forwarded-For").substr(0, longestCaller));
    name = trim(name.substr(0, name.find(',')));
    return Routing::CallerId(name.empty() ? std::string_view("anonymous") : name.substr(0, longestCaller));
}

CallerRequest readServiceRequest(const Transport::Request &request)
{
    const std::string_view rest = std::string_view(request.target).substr(servicePrefix.size());
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    const std::string_view service = rest.substr(0, end);
    if (!isName(service, longestService))
        return Rejection{404, "the target must be /s/<service>/<path>"};
    ServiceRequest result{ServiceId(service), std::string(rest.substr(end)), callerOf(request)};
    if (!result.target.starts_with('/'))
        result.target.insert(0, 1, '/');

    const std::string_view repeatable = headerValue(request.headers, "Pistachio-Repeatable");
    if (!repeatable.empty() && repeatable != "yes" && repeatable != "no")
        return Rejection{400, "Pistachio-Repeatable must be yes or no"};
    result.idempotent = repeatable != "no";
    result.key = headerValue(request.headers, "Idempotency-Key");
    if (!result.idempotent && !isName(result.key, longestKey))
        return Rejection{400, "Pistachio-Repeatable: no needs an Idempotency-Key of at most 200 printable characters"};

    if (const std::string_view text = headerValue(request.headers, "Pistachio-Timeout-Ms"); !text.empty()) {
        std::int64_t milliseconds = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || milliseconds < 1
            || milliseconds > longestTimeoutMs)
            return Rejection{400, "Pistachio-Timeout-Ms must be a number from 1 to 3600000"};
        result.timeout = std::chrono::milliseconds(milliseconds);
    }
    return result;
}

} // namespace

CallerRequest readCallerRequest(const Transport::Request &request)
{
    const std::string_view target = request.target;
    if (target.starts_with(servicePrefix))
        return readServiceRequest(request);
    if (!target.starts_with(outcomePrefix))
        return Rejection{404, "only /s/<service>/<path> and /v1/outcomes/<key> are served here"};
    if (request.method != "GET")
        return Rejection{405, "an outcome is asked for with GET"};
    const std::string_view key = target.substr(outcomePrefix.size());
    if (!isName(key, longestKey))
        return Rejection{400, "the target must be /v1/outcomes/<key>"};
    return OutcomeRequest{std::string(key)};
}

std::string fingerprint(const Transport::Request &request)
{
    // Sizes separate the parts, so that no two different requests give the same text.
    std::string text;
    for (const std::string *part : {&request.method, &request.target, &request.body})
        text += std::to_string(part->size()) + ':' + *part;
    const boost::uuids::name_generator_sha1 generate(boost::uuids::ns::url());
    return boost::uuids::to_string(generate(text));
}

Transport::Headers endToEnd(const Transport::Headers &headers)
{
    constexpr std::array hopByHop{"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
                                  "trailer",    "upgrade",    "transfer-encoding",  "content-length",      "host",
                                  "expect"};
    const std::string_view listed = headerValue(headers, "Connection");
    const auto isListed = [listed](std::string_view name) {
        for (std::size_t begin = 0; begin < listed.size();) {
            const auto end = std::min(listed.find(',', begin), listed.size());
            if (equalsIgnoringCase(trim(listed.substr(begin, end - begin)), name))
                return true;
            begin = end + 1;
        }
        return false;
    };
    constexpr std::string_view own = "pistachio-";
    Transport::Headers result;
    for (const Transport::Header &header : headers) {
        const std::string_view name = header.name;
        const bool isOwn = equalsIgnoringCase(name.substr(0, own.size()), own);
        const bool isHop
            = std::ranges::any_of(hopByHop, [name](const char *hop) { return equalsIgnoringCase(name, hop); });
        if (!isOwn && !isHop && !isListed(name) && !equalsIgnoringCase(name, "idempotency-key"))
            result.push_back(header);
    }
    return result;
}

} // namespace Pistachio::Entrynode
