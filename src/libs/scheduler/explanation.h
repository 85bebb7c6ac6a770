#pragma once

#include "core/taskid.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Scheduler
{

/// The state of a booking as shown to operators. A booking is in exactly one.
enum class BookingState : std::uint8_t {
    Unknown, ///< not booked in this zone
    Scheduled, ///< its start date is in the future
    Waiting, ///< at least one task waits for a worker
    Starting, ///< all tasks are assigned, not all run
    Running,
    Ending, ///< stopped or past its end, some tasks have not ended yet
    Completed,
    Failing, ///< held because it failed on several workers
    Unschedulable, ///< no known worker could ever hold it
    Ended, ///< past its end
};

/// \return the stable lower-case name.
std::string_view toString(BookingState state);

/// The answer to "where is my booking".
struct Explanation {
    BookingState state = BookingState::Unknown;
    std::string reason; ///< what it waits for, or why it is held
    std::uint32_t tasks = 0;
    std::uint32_t waiting = 0;
    std::uint32_t assigned = 0;
    std::uint32_t running = 0;
    std::uint32_t completed = 0;
    std::vector<std::string> details; ///< a line for each task that runs or has ended
};

} // namespace Pistachio::Scheduler
