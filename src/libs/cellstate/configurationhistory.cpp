#include "cellstate/configurationhistory.h"

#include "sheet/identifierfault.h"
#include "sheet/wirebooking.h"

#include <algorithm>
#include <set>

namespace Pistachio::Cellstate::Internal
{

namespace
{

constexpr std::int64_t maximumTimeoutMs = 3'600'000;
constexpr std::int64_t maximumBodyBytes = std::int64_t{64} << 20;
constexpr std::uint32_t wholePercent = 100;

// Every value by its name, for comparison.
std::map<std::string, std::string> valuesOf(const Wire::Configuration &configuration)
{
    std::map<std::string, std::string> values;
    for (const std::string &zone : configuration.zones())
        values["zone " + zone] = "configured";
    for (const auto &quota : configuration.quotas())
        values["quota of team " + quota.team()] = Sheet::fromWire(quota.limit()).toString();
    for (const auto &service : configuration.services())
        values["service " + service.service()] = "timeout " + std::to_string(service.timeout_ms()) + " ms, body up to "
            + std::to_string(service.max_body_bytes()) + " bytes";
    values["packing weight"] = std::to_string(configuration.packing_weight_percent()) + " %";
    return values;
}

void checkName(std::string_view kind, const std::string &name, std::set<std::string> &seen,
               std::vector<std::string> &faults)
{
    const std::string subject = std::string(kind) + " '" + name + "' ";
    if (const std::string fault = Sheet::identifierFault(name); !fault.empty())
        faults.push_back(subject + fault);
    if (!seen.insert(name).second)
        faults.push_back(subject + "is listed twice");
}

} // namespace

const Wire::Configuration &ConfigurationHistory::current() const
{
    return kept_.empty() ? Wire::Configuration::default_instance() : kept_.back();
}

const Wire::Configuration *ConfigurationHistory::find(std::uint64_t version) const
{
    const auto found = std::ranges::find(kept_, version, [](const auto &kept) { return kept.version(); });
    if (found != kept_.end())
        return &*found;
    return version == 0 ? &Wire::Configuration::default_instance() : nullptr;
}

void ConfigurationHistory::accept(Wire::Configuration configuration, const std::string &author, std::int64_t unixMs)
{
    configuration.set_version(current().version() + 1);
    configuration.set_author(author);
    configuration.set_accepted_unix_ms(unixMs);
    kept_.push_back(std::move(configuration));
    if (kept_.size() > keptConfigurations)
        kept_.pop_front();
}

std::vector<std::string> configurationFaults(const Wire::Configuration &configuration)
{
    std::vector<std::string> faults;
    std::set<std::string> zones;
    std::set<std::string> teams;
    std::set<std::string> services;
    if (configuration.zones().empty())
        faults.emplace_back("zones must not be empty");
    for (const std::string &zone : configuration.zones())
        checkName("zone", zone, zones, faults);
    for (const auto &quota : configuration.quotas()) {
        checkName("team", quota.team(), teams, faults);
        if (Sheet::fromWire(quota.limit()).isNegative())
            faults.push_back("the quota of team '" + quota.team() + "' is negative");
    }
    for (const auto &service : configuration.services()) {
        checkName("service", service.service(), services, faults);
        if (service.timeout_ms() < 1 || service.timeout_ms() > maximumTimeoutMs)
            faults.push_back("service '" + service.service() + "': timeout_ms must be from 1 to "
                             + std::to_string(maximumTimeoutMs));
        if (service.max_body_bytes() < 0 || service.max_body_bytes() > maximumBodyBytes)
            faults.push_back("service '" + service.service() + "': max_body_bytes must be from 0 to "
                             + std::to_string(maximumBodyBytes));
    }
    if (configuration.packing_weight_percent() > wholePercent)
        faults.emplace_back("packing_weight_percent must be from 0 to 100");
    return faults;
}

std::vector<std::string> differenceLines(const Wire::Configuration &before, const Wire::Configuration &after)
{
    std::vector<std::string> lines;
    const auto old = valuesOf(before);
    const auto current = valuesOf(after);
    const auto add = [&lines](const char *verb, const std::string &name, const std::string &value) {
        lines.emplace_back(verb).append(name).append(": ").append(value);
    };
    for (const auto &[name, value] : current) {
        const auto found = old.find(name);
        if (found == old.end())
            add("added ", name, value);
        else if (found->second != value)
            add("changed ", name, "from " + found->second + " to " + value);
    }
    for (const auto &[name, value] : old) {
        if (!current.contains(name))
            add("removed ", name, value);
    }
    return lines;
}

std::vector<ZoneId> zonesOf(const Wire::Configuration &configuration)
{
    std::vector<ZoneId> zones;
    for (const std::string &zone : configuration.zones())
        zones.emplace_back(zone);
    std::ranges::sort(zones);
    return zones;
}

std::map<TeamId, Resources> quotasOf(const Wire::Configuration &configuration)
{
    std::map<TeamId, Resources> quotas;
    for (const auto &quota : configuration.quotas())
        quotas.emplace(TeamId(quota.team()), Sheet::fromWire(quota.limit()));
    return quotas;
}

} // namespace Pistachio::Cellstate::Internal
