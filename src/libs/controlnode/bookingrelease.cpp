#include "controlnode/bookingrelease.h"

#include "cellstate/cellstate.h"
#include "zonestate/tasktable.h"

namespace Pistachio::Controlnode
{

std::vector<BookingId> BookingRelease::find(const ZoneId &zone, const Cellstate::CellState &cell,
                                            const ZoneState::TaskTable &tasks, Replication::LogIndex proposed,
                                            Replication::LogIndex applied)
{
    std::vector<BookingId> result;
    std::map<BookingId, Replication::LogIndex> candidates;
    for (const auto &[id, record] : cell.bookings()) {
        if (record.state == Cellstate::BookingState::Active || record.isReleased || record.booking.zone != zone)
            continue;
        const auto known = candidates_.find(id);
        // Assignments proposed before the scheduler heard of the end may still be applied.
        const auto index = known == candidates_.end() ? proposed : known->second;
        candidates[id] = index;
        if (applied >= index && tasks.assignmentsOf(id).empty())
            result.push_back(id);
    }
    candidates_ = std::move(candidates);
    return result;
}

} // namespace Pistachio::Controlnode
