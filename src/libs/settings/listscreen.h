#pragma once

#include <string>
#include <string_view>

namespace Pistachio::Settings
{

/// Keeps a TOML file readable whose list of strings holds something that the parser refuses, such as a number out of
/// range or very deeply nested arrays.
/// \param text the file
/// \param key the key of the list, at the begin of a line
/// \return the text with 0 in place of each item that isn't a string; unchanged when the list doesn't end, or has
/// comments
std::string screenStringList(std::string_view text, std::string_view key);

} // namespace Pistachio::Settings
