#pragma once

#include "core/time.h"
#include "jobs/minion.h"

#include <map>
#include <optional>
#include <string>

namespace Pistachio::Jobs
{

/// The room that is kept for large tasks in one round of planning, so that small ones don't fill each gap before it is
/// large enough.
class RoomPlan
{
public:
    /// When a task would fit on a minion, and what is left there beside it.
    struct Opening {
        TimePoint at{};
        ResourceAmounts left;
    };

    void clear() { kept_.clear(); }

    /// \return when \p demand is expected to fit, by the progress of what runs there; nothing if it never does.
    [[nodiscard]] static std::optional<Opening> openingFor(const Minion &minion, const ResourceAmounts &demand,
                                                           TimePoint now);

    /// \return when the run is expected to end.
    [[nodiscard]] static TimePoint expectedEnd(const Run &run, TimePoint now);

    /// Keeps room on a minion. Only one task has room kept on a minion at a time.
    void keep(const std::string &minion, const Opening &opening) { kept_[minion] = opening; }
    [[nodiscard]] bool isKept(const std::string &minion) const { return kept_.contains(minion); }

    /// \return whether other work may take \p demand there, now and beside the task for which room is kept.
    [[nodiscard]] bool allows(const std::string &minion, const ResourceAmounts &demand) const;

    /// Other work took room on a minion.
    void taken(const std::string &minion, const ResourceAmounts &demand);

private:
    std::map<std::string, Opening> kept_; ///< by the minion's id
};

} // namespace Pistachio::Jobs
