#pragma once

#include "sheet/booking.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace Pistachio::Sheet
{

/// One column of a booking that differs.
struct FieldChange {
    std::string column;
    std::string before;
    std::string after;

    bool operator==(const FieldChange &) const = default;
};

/// A booking that both sheets have with different values.
struct BookingChange {
    BookingId booking;
    std::vector<FieldChange> fields;

    bool operator==(const BookingChange &) const = default;
};

/// What a sheet changes when it follows another one. Each list is ordered by booking.
struct SheetDifference {
    std::vector<Booking> added;
    std::vector<BookingChange> changed;
    std::vector<Booking> ended; ///< in the earlier sheet only

    [[nodiscard]] bool isEmpty() const { return added.empty() && changed.empty() && ended.empty(); }

    /// \param limit the most lines, above zero
    /// \param valueBytes longer values are cut
    /// \return one line for each difference; a last line counts those left out.
    [[nodiscard]] std::vector<std::string> toLines(std::size_t limit, std::size_t valueBytes) const;
};

/// An empty zone in \p after is no difference: the booking keeps its home zone.
/// \param before the earlier sheet
/// \param after the later sheet
/// \return what \p after adds, changes and ends.
SheetDifference difference(std::span<const Booking> before, std::span<const Booking> after);

} // namespace Pistachio::Sheet
