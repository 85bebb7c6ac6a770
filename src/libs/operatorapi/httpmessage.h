#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Pistachio::Operatorapi
{

using Headers = std::vector<std::pair<std::string, std::string>>;

/// An operator's HTTP request, free of the HTTP library's types.
struct Request {
    std::string method;
    std::string target; ///< path and query, percent-encoded
    Headers headers;
    std::string body;
    std::int64_t nowUnixMs = 0; ///< the wall clock of the instance, recorded with a change
};

/// The answer to send.
struct Answer {
    unsigned status = 0;
    Headers headers; ///< Content-Type included, Content-Length not
    std::string body;
};

/// \param headers the headers of a request
/// \param name the name in any case
/// \return the first value, or an empty view.
std::string_view headerValue(const Headers &headers, std::string_view name);

} // namespace Pistachio::Operatorapi
