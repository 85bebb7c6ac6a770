#pragma once

#include "core/result.h"
#include "core/time.h"
#include "settings/address.h"
#include "settings/logsettings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Pistachio::Settings
{

/// The settings file of the programs that run callers' jobs.
struct JobSettings {
    std::string instance; ///< the name in logs
    std::string ip; ///< where the other instances reach this one; names it among them
    std::string bindIp; ///< the local address behind it, if that is another one; connections leave from it
    std::string zone;
    std::string region;
    std::string dataFolder; ///< empty: the instance keeps nothing
    bool bootstrap = false; ///< the whole cell starts for the first time
    std::uint16_t internalPort = 0; ///< the same on all instances
    std::uint16_t metricsPort = 0; ///< 0: no metrics are served
    std::vector<Address> seeds; ///< control addresses of some instances
    Address listenCallers;
    Address listenReady;
    Address listenControl;
    Address advice;
    Address machines; ///< the service that moves and restarts machines
    std::size_t toleratedLosses = 1; ///< of instances with a disk, at a time
    Duration catchUpTime = std::chrono::seconds(4); ///< then the successor of a lost instance counts like the others
    Duration longestLease = std::chrono::seconds(6); ///< minions cut longer ones down to this
    Duration stopTimeout = std::chrono::milliseconds(400);
    Duration drainTimeout = std::chrono::seconds(5); ///< of requests in flight, at a planned stop
    std::size_t maxBodyBytes = std::size_t{4} << 20;
    LogSettings log;

    /// \return the addresses of the seeds without their ports.
    [[nodiscard]] std::vector<std::string> seedIps() const;

    /// \return where this instance listens.
    [[nodiscard]] const std::string &localIp() const { return bindIp.empty() ? ip : bindIp; }

    /// \param path the TOML file
    /// \return the checked settings, or every error with its file, line and key, one a line.
    static Result<JobSettings> load(const std::string &path);
};

} // namespace Pistachio::Settings
