#include "entrynode/configurationstate.h"

#include <entry.pb.h>

#include <algorithm>

namespace Pistachio::Entrynode
{

namespace
{

// FNV-1a followed by a mixing step: every entry must compute the same value, and zone names differ in few letters.
std::uint64_t rendezvousWeight(std::string_view zone, std::string_view key)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const std::string_view part : {zone, std::string_view("~"), key}) {
        for (const char character : part) {
            hash ^= static_cast<unsigned char>(character);
            hash *= 1099511628211ULL;
        }
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    return hash;
}

} // namespace

bool ConfigurationState::apply(const Wire::ConfigurationPush &push)
{
    received_ = true;
    floor_ = std::max(floor_, push.floor());
    if (!push.has_configuration() || push.configuration().version() <= version_)
        return false;
    const Wire::Configuration &configuration = push.configuration();
    version_ = configuration.version();
    zones_.assign(configuration.zones().begin(), configuration.zones().end());
    services_.clear();
    for (const Wire::ServiceRoute &route : configuration.services()) {
        services_[ServiceId(route.service())]
            = {std::chrono::milliseconds(route.timeout_ms()), static_cast<std::size_t>(route.max_body_bytes())};
    }
    return true;
}

std::string_view ConfigurationState::obstacle() const
{
    if (!received_)
        return "no control instance of the zone has answered yet";
    if (version_ < floor_)
        return "the configuration is older than the zone's floor";
    return {};
}

ServiceRules ConfigurationState::rules(const ServiceId &service) const
{
    const auto known = services_.find(service);
    return known == services_.end() ? ServiceRules{} : known->second;
}

ZoneId ConfigurationState::homeZone(std::string_view key, const ZoneId &ownZone) const
{
    const std::string_view prefix = key.substr(0, key.find('~'));
    if (prefix.size() < key.size() && (prefix == ownZone.value() || std::ranges::find(zones_, prefix) != zones_.end()))
        return ZoneId(prefix);
    if (zones_.empty())
        return ownZone;
    return ZoneId(*std::ranges::max_element(zones_, {}, [key](const std::string &zone) {
        return std::pair(rendezvousWeight(zone, key), std::string_view(zone));
    }));
}

} // namespace Pistachio::Entrynode
