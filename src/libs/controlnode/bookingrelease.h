#pragma once

#include "core/identifier.h"
#include "replication/types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Pistachio::Cellstate
{
class CellState;
}

namespace Pistachio::ZoneState
{
class TaskTable;
}

namespace Pistachio::Controlnode
{

/// Finds the ended and cancelled bookings of a zone that have no task left, so that the cell may forget them.
class BookingRelease
{
public:
    /// \param zone the home zone
    /// \param cell the cell state that the scheduler has been told of
    /// \param tasks the applied assignments
    /// \param proposed the last log index that this leader has proposed
    /// \param applied the last log index that is applied
    /// \return the bookings of which no task exists and no assignment is on its way.
    std::vector<BookingId> find(const ZoneId &zone, const Cellstate::CellState &cell, const ZoneState::TaskTable &tasks,
                                Replication::LogIndex proposed, Replication::LogIndex applied);

    /// Forgets what an earlier leadership has found.
    void reset() { candidates_.clear(); }

private:
    std::map<BookingId, Replication::LogIndex> candidates_; ///< with the last proposal before the booking was gone
};

} // namespace Pistachio::Controlnode
