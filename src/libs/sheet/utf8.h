#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace Pistachio::Sheet
{

/// \param text bytes from outside
/// \return the offset of the first byte that is not valid UTF-8, or nothing. Protobuf strings and JSON need valid text.
std::optional<std::size_t> firstInvalidUtf8(std::string_view text);

} // namespace Pistachio::Sheet
