#pragma once

#include "sheet/booking.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Pistachio::Cellstate
{

enum class BookingState : std::uint8_t {
    Active, ///< runs as booked
    Ended, ///< omitted from a later sheet; its tasks stop within the grace period
    Cancelled, ///< cancelled by an operator; its tasks stop within the grace period
};

/// \return the lower-case name used in answers.
std::string_view toString(BookingState state);

/// A booking and who changed it last.
struct BookingRecord {
    Sheet::Booking booking; ///< with its home zone
    BookingState state = BookingState::Active;
    std::uint64_t sheetVersion = 0; ///< the sheet that last changed it
    std::uint64_t revision = 0; ///< CellState::bookingsRevision() of the last change
    bool isReleased = false; ///< cancelled, and its home zone has no task of it left
    std::int64_t changedUnixMs = 0;
    std::string changedBy;

    bool operator==(const BookingRecord &) const = default;
};

} // namespace Pistachio::Cellstate
