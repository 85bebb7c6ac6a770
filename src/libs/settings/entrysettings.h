#pragma once

#include "core/identifier.h"
#include "core/result.h"
#include "core/time.h"
#include "settings/address.h"
#include "settings/logsettings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Pistachio::Settings
{

/// The settings file of pistachio-entry.
struct EntrySettings {
    /// A control instance.
    struct Control {
        InstanceId id;
        ZoneId zone;
        Address internal;
    };

    /// Another entry.
    struct Peer {
        InstanceId id;
        ZoneId zone;
        Address internal;
        Address minions;
    };

    /// The [limits] table.
    struct Limits {
        std::size_t maxQueuedRequests = 1024;
        std::size_t maxBodyBytes = std::size_t{8} << 20;
        std::size_t maxHeaderBytes = std::size_t{16} << 10;
        Duration idleTimeout = std::chrono::seconds(30);
        Duration drainTimeout = std::chrono::seconds(30);
        Duration defaultRequestTimeout = std::chrono::seconds(10);
    };

    InstanceId instance;
    ZoneId zone;
    std::string region; ///< of the zone; the zone's name when it is not set
    Address listenCallers;
    Address listenMinions;
    Address listenInternal;
    Limits limits;
    LogSettings log;
    std::vector<Control> controls;
    std::vector<Peer> peers;

    /// \param path the TOML file
    /// \return the checked settings, or every error with its file, line and key, one a line.
    static Result<EntrySettings> load(const std::string &path);
};

} // namespace Pistachio::Settings
