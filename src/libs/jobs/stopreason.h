#pragma once

#include <cstdint>
#include <string_view>

namespace Pistachio::Jobs
{

/// Why the leader has a run stopped.
enum class StopReason : std::uint8_t {
    None, ///< it isn't stopped
    JobEnded,
    TaskDone, ///< another run of the task has ended done
    GangIncomplete, ///< a member of its gang has ended
    Moved, ///< off a slow minion
    Preempted,
    Unlisted, ///< the minion's lists lack it
    Orphan, ///< the store has another run of the task, or none
    StartNotConfirmed,
    MinionLeaves,
    EarlierIncarnation, ///< was assigned to an earlier incarnation of the minion
};

/// \return a name for the log.
[[nodiscard]] std::string_view toString(StopReason reason);

} // namespace Pistachio::Jobs
