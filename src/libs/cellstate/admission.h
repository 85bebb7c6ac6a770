#pragma once

#include "core/identifier.h"
#include "core/resources.h"
#include "sheet/booking.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Pistachio::Cellstate::Internal
{

/// The largest workers of each zone whose workers are known.
using ZoneCapacities = std::map<ZoneId, std::vector<Resources>>;

/// \param booking a booking
/// \param zones the zones where it may run
/// \param capacities the known workers
/// \return why no worker can ever run a task of it; nothing when one can, or when the workers of some zone are unknown.
std::optional<std::string> capacityFault(const Sheet::Booking &booking, std::span<const ZoneId> zones,
                                         const ZoneCapacities &capacities);

/// Chooses home zones for the bookings of one sheet.
class HomeZones
{
public:
    /// \param zones the configured zones, not empty
    /// \param capacities the known workers
    HomeZones(std::span<const ZoneId> zones, const ZoneCapacities &capacities);

    /// \param booking a booking that already has its home zone
    void count(const Sheet::Booking &booking);

    /// Counts the booking too.
    /// \param booking a booking without a home zone
    /// \return the zone with the least booked demand among those that can run it; of equal ones the first by name.
    ZoneId choose(const Sheet::Booking &booking);

private:
    std::map<ZoneId, Resources> demand_;
    const ZoneCapacities *capacities_;
};

/// \param limits the quotas of the teams; when empty, no team has one
/// \param bookings the active bookings
/// \param fromUnixS time before this does not count
/// \return one line for each team and resource above its quota, and for each team without a quota.
std::vector<std::string> quotaFaults(const std::map<TeamId, Resources> &limits,
                                     std::span<const Sheet::Booking *const> bookings, std::int64_t fromUnixS);

} // namespace Pistachio::Cellstate::Internal
