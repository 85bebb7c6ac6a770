#pragma once

#include <cstdint>
#include <string>

namespace Pistachio::Sheet
{

/// \param unixS seconds since 1970, 0 for no time
/// \return ISO 8601 in UTC such as "2026-12-04T06:00:00Z", or an empty string for no time.
std::string utcText(std::int64_t unixS);

} // namespace Pistachio::Sheet
