#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Pistachio::Sheet
{

/// \param text bytes from outside
/// \return the offset of the first byte that is not valid UTF-8, or nothing. Protobuf strings and JSON need valid text.
std::optional<std::size_t> firstInvalidUtf8(std::string_view text);

/// \param text valid UTF-8
/// \param bytes the most bytes to keep
/// \return \p text, or its start up to a whole character followed by "...".
std::string shortened(std::string_view text, std::size_t bytes);

} // namespace Pistachio::Sheet
