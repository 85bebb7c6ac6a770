#pragma once

#include "sheet/booking.h"

#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace Pistachio::Sheet::Internal
{

/// One column of the sheet: how its cells are read, written and compared.
struct Column {
    std::string_view name;
    bool isRequired = true;
    std::string (*read)(std::string_view cell, Booking &booking); ///< the reason for refusal, empty when accepted
    std::string (*write)(const Booking &booking);
};

/// \return the columns in the order in which a sheet is written.
std::span<const Column> columns();

/// \param booking a booking whose cells were each accepted
/// \return the column and the reason of a contradiction between cells; both empty when there is none.
std::pair<std::string_view, std::string> contradiction(const Booking &booking);

} // namespace Pistachio::Sheet::Internal
