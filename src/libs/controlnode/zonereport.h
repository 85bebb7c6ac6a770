#pragma once

#include "core/identifier.h"
#include "core/time.h"

namespace Pistachio::Cellstate
{
class CellState;
}

namespace Pistachio::Scheduler
{
class ZoneScheduler;
}

namespace Pistachio::Wire
{
class ZoneReport;
}

namespace Pistachio::ZoneState
{
class ZoneState;
}

namespace Pistachio::Controlnode
{

/// \param now the time of the report
/// \param zone the zone to report
/// \param cell the bookings
/// \param state where the tasks are
/// \param scheduler the workers, and why tasks wait
/// \param report gets the workers, and the bookings with their tasks
void fillZoneReport(TimePoint now, const ZoneId &zone, const Cellstate::CellState &cell,
                    const ZoneState::ZoneState &state, const Scheduler::ZoneScheduler &scheduler,
                    Wire::ZoneReport &report);

} // namespace Pistachio::Controlnode
