#pragma once

#include "sheet/booking.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Reading, writing and comparing the sheets that operators book work with.
namespace Pistachio::Sheet
{

/// One cell that can't be accepted. The row counts as a spreadsheet does: the header is row 1.
struct CellError {
    std::uint32_t row = 0;
    std::string column;
    std::string value;
    std::string reason;

    bool operator==(const CellError &) const = default;
};

/// Bounds that keep a wrong file from exhausting the memory of a control instance.
struct SheetLimits {
    std::size_t bytes = std::size_t{8} << 20;
    std::size_t rows = 20'000; ///< about three days of jobs at the two-year scale
    std::size_t listedErrors = 1'000;
};

/// What a file holds. The bookings are usable only when there is no error.
struct SheetReading {
    std::vector<Booking> bookings;
    std::vector<CellError> errors; ///< in the order of rows, at most SheetLimits::listedErrors
    std::size_t errorCount = 0; ///< of all errors, listed or not

    [[nodiscard]] bool isAccepted() const { return errorCount == 0; }
};

/// \param text a CSV file in UTF-8: comma or semicolon, optional byte order mark, either line ending
/// \param limits the largest file to accept
/// \return the bookings, or all errors of the file.
SheetReading readSheet(std::string_view text, const SheetLimits &limits = {});

} // namespace Pistachio::Sheet
