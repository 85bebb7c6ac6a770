#include "cellstate/admission.h"

#include "cellstate/demand.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <tuple>

namespace Pistachio::Cellstate::Internal
{

namespace
{

struct Kind {
    std::string_view name;
    std::int64_t Resources::*amount;
    std::int64_t unit;
    std::string_view unitName;
};

constexpr std::array<Kind, 3> kinds{{
    {"cores", &Resources::milliCores, 1, "millicores"},
    {"memory", &Resources::memoryBytes, std::int64_t{1} << 20, "MB"},
    {"accelerators", &Resources::accelerators, 1, "accelerators"},
}};

std::string amountText(const Kind &kind, const Resources &resources)
{
    return std::to_string(resources.*kind.amount / kind.unit) + ' ' + std::string(kind.unitName);
}

// Zones are compared by the kind that the booking needs most; a zone full of accelerator jobs may still have cores
// left.
std::tuple<std::int64_t, std::int64_t, std::int64_t> load(const Resources &demand, bool usesAccelerators)
{
    return {usesAccelerators ? demand.accelerators : 0, demand.milliCores, demand.memoryBytes};
}

bool canRun(const Sheet::Booking &booking, const ZoneId &zone, const ZoneCapacities &capacities)
{
    const auto known = capacities.find(zone);
    return known == capacities.end() || known->second.empty()
        || std::ranges::any_of(known->second, [&](const auto &worker) { return booking.resources.fitsIn(worker); });
}

} // namespace

std::optional<std::string> capacityFault(const Sheet::Booking &booking, std::span<const ZoneId> zones,
                                         const ZoneCapacities &capacities)
{
    Resources largest;
    for (const ZoneId &zone : zones) {
        if (canRun(booking, zone, capacities))
            return std::nullopt;
        for (const Resources &worker : capacities.at(zone)) {
            for (const Kind &kind : kinds)
                largest.*kind.amount = std::max(largest.*kind.amount, worker.*kind.amount);
        }
    }
    const std::string where = zones.size() == 1 ? "in zone " + zones.front().value() : std::string("in any zone");
    for (const Kind &kind : kinds) {
        if (booking.resources.*kind.amount > largest.*kind.amount)
            return "booking '" + booking.id.value() + "' can never run: lacking " + std::string(kind.name)
                + ", a task needs " + amountText(kind, booking.resources) + " and the largest worker " + where + " has "
                + amountText(kind, largest);
    }
    return "booking '" + booking.id.value() + "' can never run: no worker " + where + " has "
        + booking.resources.toString() + " together";
}

HomeZones::HomeZones(std::span<const ZoneId> zones, const ZoneCapacities &capacities)
    : capacities_(&capacities)
{
    for (const ZoneId &zone : zones)
        demand_.emplace(zone, Resources());
}

void HomeZones::count(const Sheet::Booking &booking)
{
    Resources &demand = demand_[booking.zone];
    demand = saturatingSum(demand, totalOf(booking));
}

ZoneId HomeZones::choose(const Sheet::Booking &booking)
{
    const bool usesAccelerators = booking.resources.accelerators > 0;
    const auto isBetter = [&](const auto &left, const auto &right) {
        const bool leftLacks = !canRun(booking, left.first, *capacities_);
        const bool rightLacks = !canRun(booking, right.first, *capacities_);
        return std::tuple(leftLacks, load(left.second, usesAccelerators))
            < std::tuple(rightLacks, load(right.second, usesAccelerators));
    };
    const auto best = std::ranges::min_element(demand_, isBetter);
    best->second = saturatingSum(best->second, totalOf(booking));
    return best->first;
}

std::vector<std::string> quotaFaults(const std::map<TeamId, Resources> &limits,
                                     std::span<const Sheet::Booking *const> bookings, std::int64_t fromUnixS)
{
    std::vector<std::string> faults;
    if (limits.empty())
        return faults;
    std::map<TeamId, std::vector<const Sheet::Booking *>> byTeam;
    for (const Sheet::Booking *booking : bookings)
        byTeam[booking->team].push_back(booking);
    for (const auto &[team, booked] : byTeam) {
        const auto limit = limits.find(team);
        if (limit == limits.end()) {
            faults.push_back("team '" + team.value() + "' has no quota");
            continue;
        }
        const Resources peak = peakDemand(booked, fromUnixS);
        for (const Kind &kind : kinds) {
            if (peak.*kind.amount > limit->second.*kind.amount)
                faults.push_back("team '" + team.value() + "' exceeds its quota of " + std::string(kind.name)
                                 + ": booked " + amountText(kind, peak) + ", quota " + amountText(kind, limit->second));
        }
    }
    return faults;
}

} // namespace Pistachio::Cellstate::Internal
