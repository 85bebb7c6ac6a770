#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Sheet::Internal
{

/// A place where the text is not CSV.
struct CsvFault {
    std::uint32_t row = 0; ///< 0: there is none
    std::size_t column = 0; ///< from 0
    std::string reason;
};

/// \param text CSV without a byte order mark
/// \return ';' when the first line has more semicolons than commas outside quotes, else ','.
char separatorOf(std::string_view text);

/// \param text CSV without a byte order mark
/// \param separator the character between cells
/// \param row called with the number and cells of each row; rows without any value are counted but left out; returns
/// whether to go on
/// \return the first fault; the rows before it were delivered.
CsvFault readRows(std::string_view text, char separator,
                  const std::function<bool(std::uint32_t, const std::vector<std::string> &)> &row);

} // namespace Pistachio::Sheet::Internal
