#pragma once

#include "core/resources.h"
#include "sheet/booking.h"

#include <cstdint>
#include <span>

namespace Pistachio::Cellstate::Internal
{

/// \return the sum, with each kind limited to the largest number instead of an overflow.
Resources saturatingSum(const Resources &left, const Resources &right);

/// \param booking a booking within the bounds of a sheet
/// \return what all its tasks declare together.
Resources totalOf(const Sheet::Booking &booking);

/// \param bookings the bookings to add up
/// \param fromUnixS time before this does not count
/// \return for each kind the largest amount that \p bookings claim at one time.
Resources peakDemand(std::span<const Sheet::Booking *const> bookings, std::int64_t fromUnixS);

} // namespace Pistachio::Cellstate::Internal
