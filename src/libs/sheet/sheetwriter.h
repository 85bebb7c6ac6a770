#pragma once

#include "sheet/booking.h"

#include <span>
#include <string>

namespace Pistachio::Sheet
{

/// \param bookings the rows
/// \return a CSV file with a header, comma separated, that readSheet() reads as the same bookings.
std::string writeSheet(std::span<const Booking> bookings);

} // namespace Pistachio::Sheet
