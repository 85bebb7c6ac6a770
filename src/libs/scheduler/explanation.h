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
    Scheduled, ///< before its start date
    Waiting, ///< at least one task waits for a worker
    Starting, ///< all tasks are assigned, but not all are running
    Running,
    Ending, ///< cancelled or past its end, and some tasks have not ended yet
    Completed,
    Failing, ///< on hold because it failed repeatedly
    Unschedulable, ///< could not be placed even if nothing else was running
    Ended, ///< cancelled or past its end, and no task is left
};

/// \return the lower-case name, which operators' tools rely on.
std::string_view toString(BookingState state);

/// The state of a booking and the reason for it, as shown to operators.
struct Explanation {
    BookingState state = BookingState::Unknown;
    std::string reason; ///< what it waits for, or why it is on hold
    std::uint32_t tasks = 0;
    std::uint32_t waiting = 0;
    std::uint32_t assigned = 0;
    std::uint32_t running = 0;
    std::uint32_t completed = 0;
    std::vector<std::string> details; ///< a line for each task that is assigned or has ended
};

} // namespace Pistachio::Scheduler
