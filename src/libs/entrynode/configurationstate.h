#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Wire
{
class ConfigurationPush;
}

namespace Pistachio::Entrynode
{

/// What operators configured for one service.
struct ServiceRules {
    Duration timeout{}; ///< zero: the entry's default
    std::size_t maxBodyBytes = 0; ///< zero: the entry's limit
};

/// The configuration in force at this entry and the zone's floor.
class ConfigurationState
{
public:
    /// Takes over a push of the zone leader; a version older than the one in force is ignored.
    /// \return whether the version in force changed.
    bool apply(const Wire::ConfigurationPush &push);

    /// \return why the entry may not serve, or an empty view.
    [[nodiscard]] std::string_view obstacle() const;
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] std::uint64_t floor() const { return floor_; }
    [[nodiscard]] ServiceRules rules(const ServiceId &service) const;

    /// \param key an idempotency key
    /// \param ownZone used when no configuration names the zones
    /// \return the zone that holds the key's record: its prefix when that is a zone, or else by rendezvous hash.
    [[nodiscard]] ZoneId homeZone(std::string_view key, const ZoneId &ownZone) const;

private:
    bool received_ = false;
    std::uint64_t floor_ = 0;
    std::uint64_t version_ = 0;
    std::vector<std::string> zones_;
    std::map<ServiceId, ServiceRules> services_;
};

} // namespace Pistachio::Entrynode
