#pragma once

#include "cellstate/bookingbook.h"
#include "cellstate/cellstate.h"
#include "cellstate/configurationhistory.h"
#include "cellstate/instancelist.h"
#include "cellstate/requestlog.h"
#include "cellstate/sheethistory.h"

namespace Pistachio::Cellstate
{

/// The aggregates of the cell and the rules between them.
struct CellState::Data {
    Internal::BookingBook bookings;
    Internal::SheetHistory sheets;
    Internal::ConfigurationHistory configurations;
    Internal::InstanceList instances;
    Internal::RequestLog requests;
    std::int64_t latestUnixMs = 0; ///< the latest proposed time so far; the times of two leaders may disagree

    Wire::CellResult apply(const Wire::CellCommand &command);

private:
    Wire::CellResult change(const Wire::CellCommand &command);
    Wire::CellResult applySheet(const Wire::CellCommand &command);
    Wire::CellResult setConfiguration(const Wire::CellCommand &command);
    Wire::CellResult cancelBookings(const Wire::CellCommand &command);
    Wire::CellResult releaseBookings(const Wire::ReleaseBookings &release);
    Wire::CellResult addInstance(const Wire::Instance &message);
    [[nodiscard]] Wire::CellResult sheetConflict(std::uint64_t expected) const;
    [[nodiscard]] Wire::CellResult configurationConflict(std::uint64_t expected) const;
    [[nodiscard]] std::vector<std::string> capacityFaults(std::span<const Sheet::Booking *const> rows,
                                                          std::span<const ZoneId> zones,
                                                          const Wire::ApplySheet &sheet) const;
};

namespace Internal
{

/// \param instance the instance to encode
/// \param message receives all fields of \p instance
void toWire(const InstanceRecord &instance, Wire::Instance &message);

/// \param message an instance as sent or stored
/// \return the instance.
InstanceRecord fromWire(const Wire::Instance &message);

} // namespace Internal

} // namespace Pistachio::Cellstate
