#pragma once

#include <string>
#include <string_view>

namespace Pistachio::Sheet
{

/// \param text the name of a booking, team, zone, service or instance
/// \return the reason why it can't be an identifier, or an empty string.
std::string identifierFault(std::string_view text);

} // namespace Pistachio::Sheet
