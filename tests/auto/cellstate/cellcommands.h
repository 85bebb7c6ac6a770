#pragma once

#include "cell.pb.h"
#include "sheet/booking.h"
#include "sheet/wirebooking.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// Short ways to make bookings and commands.
namespace CellCommands
{

using namespace Pistachio;

constexpr std::int64_t gibibyte = std::int64_t{1} << 30;

inline Sheet::Booking booking(const std::string &id, std::int64_t cores = 1, const std::string &zone = {},
                              const std::string &team = "print")
{
    Sheet::Booking result;
    result.id = BookingId(id);
    result.team = TeamId(team);
    result.resources = {cores * 1000, gibibyte, 0};
    result.zone = ZoneId(zone);
    result.command = "run";
    return result;
}

inline Wire::CellCommand command(const std::string &requestId, const std::string &author, std::int64_t unixMs = 1000)
{
    Wire::CellCommand result;
    result.set_request_id(requestId);
    result.set_author(author);
    result.set_proposed_unix_ms(unixMs);
    return result;
}

inline Wire::CellCommand sheet(const std::string &requestId, const std::string &author, std::uint64_t expected,
                               const std::vector<Sheet::Booking> &bookings, std::int64_t unixMs = 1000)
{
    Wire::CellCommand result = command(requestId, author, unixMs);
    result.mutable_apply_sheet()->set_expected_version(expected);
    for (const auto &row : bookings)
        Sheet::toWire(row, *result.mutable_apply_sheet()->add_bookings());
    return result;
}

inline void addCapacity(Wire::CellCommand &sheet, const std::string &zone, const std::vector<Resources> &workers)
{
    auto *capacity = sheet.mutable_apply_sheet()->add_capacities();
    capacity->set_zone(zone);
    for (const Resources &worker : workers)
        Sheet::toWire(worker, *capacity->add_workers());
}

inline Wire::CellCommand configuration(const std::string &requestId, std::uint64_t expected,
                                       const std::vector<std::string> &zones,
                                       const std::vector<std::pair<std::string, Resources>> &quotas = {})
{
    Wire::CellCommand result = command(requestId, "admin");
    auto *change = result.mutable_set_configuration();
    change->set_expected_version(expected);
    for (const auto &zone : zones)
        change->mutable_configuration()->add_zones(zone);
    for (const auto &[team, limit] : quotas) {
        auto *quota = change->mutable_configuration()->add_quotas();
        quota->set_team(team);
        Sheet::toWire(limit, *quota->mutable_limit());
    }
    return result;
}

inline Wire::CellCommand cancel(const std::string &requestId, const std::vector<std::string> &bookings)
{
    Wire::CellCommand result = command(requestId, "admin");
    for (const auto &id : bookings)
        result.mutable_cancel_bookings()->add_bookings(id);
    return result;
}

inline Wire::CellCommand release(const std::string &zone, const std::vector<std::string> &bookings,
                                 std::uint64_t revision)
{
    Wire::CellCommand result;
    result.mutable_release_bookings()->set_zone(zone);
    result.mutable_release_bookings()->set_bookings_revision(revision);
    for (const auto &id : bookings)
        result.mutable_release_bookings()->add_bookings(id);
    return result;
}

} // namespace CellCommands
