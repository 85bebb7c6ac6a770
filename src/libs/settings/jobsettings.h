#pragma once

#include "core/result.h"
#include "core/time.h"
#include "settings/address.h"
#include "settings/clientlimits.h"
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
    std::size_t maxDescriptors = 4096; ///< files and connections that the process may hold open
    std::size_t toleratedLosses = 1; ///< of instances with a disk, at a time
    Duration catchUpTime = std::chrono::seconds(4); ///< then the successor of a lost instance counts like the others
    Duration longestLease = std::chrono::seconds(6); ///< minions cut longer ones down to this
    Duration minionDrain = std::chrono::milliseconds(2500); ///< a minion that leaves starts nothing later than this
    Duration stopTimeout = std::chrono::milliseconds(400); ///< upper bound on the time that minions take for a stop
    Duration gangTimeout = std::chrono::seconds(3); ///< the first members of a gang wait for the others this long
    Duration reportInterval = std::chrono::milliseconds(1500); ///< between two reports of a minion
    double remotePenalty = 1; ///< factor on the run time of a task away from its data, or of a gang over several racks
    Duration finishedReadable = std::chrono::seconds(120); ///< how long callers may ask for a finished job
    Duration stopGrace = std::chrono::seconds(6); ///< a process that is told to stop is killed after it
    Duration drainTimeout = std::chrono::seconds(5); ///< of requests in flight, at a planned stop; see drainLimit()
    ClientLimits clients;
    LogSettings log;
    std::vector<std::string> warnings; ///< a line for each seed that was left out, with its file, line and key

    /// \return the addresses of the seeds without their ports.
    [[nodiscard]] std::vector<std::string> seedIps() const;

    /// \return where this instance listens.
    [[nodiscard]] const std::string &localIp() const { return bindIp.empty() ? ip : bindIp; }

    /// \return how long a planned stop waits for requests in flight: the drain timeout, as far as the grace allows.
    [[nodiscard]] Duration drainLimit() const;

    /// \return the part of drainLimit() in which an entry still takes new connections.
    [[nodiscard]] Duration drainNotice() const;

    /// \param path the TOML file
    /// \return the checked settings, or every error with its file, line and key, one a line.
    static Result<JobSettings> load(const std::string &path);
};

} // namespace Pistachio::Settings
