#pragma once

#include "core/identifier.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace Pistachio
{

/// One task of a booking.
struct TaskId {
    BookingId booking;
    std::uint32_t index = 0;

    auto operator<=>(const TaskId &) const = default;

    /// \return "<booking>/<index>", as used in logs.
    [[nodiscard]] std::string toString() const { return booking.value() + '/' + std::to_string(index); }
};

} // namespace Pistachio

template<> struct std::hash<Pistachio::TaskId> {
    std::size_t operator()(const Pistachio::TaskId &task) const noexcept
    {
        return std::hash<Pistachio::BookingId>{}(task.booking) * 31 + task.index;
    }
};
