#pragma once

#include "cell.pb.h"
#include "core/identifier.h"
#include "core/resources.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Pistachio::Cellstate::Internal
{

constexpr std::size_t keptConfigurations = 32;

/// The accepted configurations.
class ConfigurationHistory
{
public:
    /// \return the configuration in force; its version is 0 before the first.
    [[nodiscard]] const Wire::Configuration &current() const;

    /// \param version a version
    /// \return it, or nullptr when it never was or is no longer kept.
    [[nodiscard]] const Wire::Configuration *find(std::uint64_t version) const;

    /// Makes \p configuration the one in force under the next version.
    void accept(Wire::Configuration configuration, const std::string &author, std::int64_t unixMs);

    /// \return the kept configurations, oldest first.
    [[nodiscard]] const std::deque<Wire::Configuration> &kept() const { return kept_; }

    /// \param kept the kept configurations, oldest first
    void restore(std::deque<Wire::Configuration> kept) { kept_ = std::move(kept); }

private:
    std::deque<Wire::Configuration> kept_;
};

/// \param configuration a configuration as proposed
/// \return one line for each fault.
std::vector<std::string> configurationFaults(const Wire::Configuration &configuration);

/// \return one line for each difference, without version, author and time.
std::vector<std::string> differenceLines(const Wire::Configuration &before, const Wire::Configuration &after);

/// \return the configured zones in the order of their names.
std::vector<ZoneId> zonesOf(const Wire::Configuration &configuration);

/// \return the quotas by team.
std::map<TeamId, Resources> quotasOf(const Wire::Configuration &configuration);

} // namespace Pistachio::Cellstate::Internal
