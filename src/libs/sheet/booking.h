#pragma once

#include "core/identifier.h"
#include "core/resources.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Pistachio::Sheet
{

/// How the tasks of a booking are run.
enum class WorkKind : std::uint8_t {
    Service, ///< runs until the booking ends
    Batch, ///< each task runs to completion on its own
    Together, ///< gang job: all tasks start at the same time or none does
};

/// What a booking may claim from others.
enum class Standing : std::uint8_t {
    Urgent,
    Promised, ///< never displaced
    Normal,
    Spare,
};

constexpr std::int64_t defaultGraceSeconds = 30;

/// One row of a sheet.
struct Booking {
    BookingId id;
    TeamId team;
    WorkKind kind = WorkKind::Service;
    std::uint32_t tasks = 1;
    Resources resources; ///< for each task
    std::int64_t startUnixS = 0; ///< 0: at once
    std::int64_t endUnixS = 0; ///< 0: no end
    Standing standing = Standing::Normal;
    ZoneId zone; ///< home availability zone; empty in a sheet that leaves the choice to the cell
    std::int64_t runSeconds = 0; ///< declared run time, 0: unknown
    bool checkpoint = false;
    std::int64_t graceSeconds = defaultGraceSeconds;
    std::string command;

    bool operator==(const Booking &) const = default;
};

/// \return the word used in the sheet.
std::string_view toString(WorkKind kind);

/// \return the word used in the sheet.
std::string_view toString(Standing standing);

} // namespace Pistachio::Sheet
