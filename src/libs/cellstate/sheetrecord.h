#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Pistachio::Cellstate
{

/// An accepted sheet without its bookings.
struct SheetSummary {
    std::uint64_t version = 0;
    std::string author;
    std::int64_t acceptedUnixMs = 0;
    std::size_t bookings = 0;
    std::size_t added = 0;
    std::size_t changed = 0;
    std::size_t ended = 0;

    bool operator==(const SheetSummary &) const = default;
};

} // namespace Pistachio::Cellstate
