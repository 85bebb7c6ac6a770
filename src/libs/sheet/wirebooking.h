#pragma once

#include "core/result.h"
#include "sheet/booking.h"

namespace Pistachio::Wire
{
class Booking;
class Resources;
} // namespace Pistachio::Wire

namespace Pistachio::Sheet
{

/// \param booking the booking to encode
/// \param message receives all fields of \p booking
void toWire(const Booking &booking, Wire::Booking &message);

/// \param message a booking as sent or stored
/// \return the booking, or InvalidArgument naming the booking and the field that is out of range.
Result<Booking> fromWire(const Wire::Booking &message);

/// \param resources the amounts to encode
/// \param message receives the amounts
void toWire(const Resources &resources, Wire::Resources &message);

/// \param message amounts as sent or stored
/// \return the amounts.
Resources fromWire(const Wire::Resources &message);

} // namespace Pistachio::Sheet
