#include "operatorapi/httpmessage.h"

#include <algorithm>

namespace Pistachio::Operatorapi
{

namespace
{

char lowerCase(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

std::string_view headerValue(const Headers &headers, std::string_view name)
{
    const auto isNamed
        = [name](const auto &header) { return std::ranges::equal(header.first, name, {}, lowerCase, lowerCase); };
    const auto found = std::ranges::find_if(headers, isNamed);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

} // namespace Pistachio::Operatorapi
