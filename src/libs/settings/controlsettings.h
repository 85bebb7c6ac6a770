#pragma once

#include "core/identifier.h"
#include "core/result.h"
#include "settings/address.h"
#include "settings/logsettings.h"

#include <string>
#include <vector>

namespace Pistachio::Settings
{

/// The settings file of pistachio-control.
struct ControlSettings {
    /// The addresses under which the other processes reach one control instance.
    struct Instance {
        InstanceId id;
        ZoneId zone;
        Address internal;
        Address operators;
        Address worker;
    };

    /// The first members of one replicated group. Later changes are in the group's log.
    struct Group {
        GroupId name; ///< "cell" or "zone:<availability zone>"
        std::vector<InstanceId> voters;
        std::vector<InstanceId> learners;
    };

    InstanceId instance;
    ZoneId zone;
    std::string dataFolder;
    std::string operatorTokenFile;
    Address listenInternal;
    Address listenOperator;
    Address listenWorker;
    LogSettings log;
    std::vector<Instance> instances;
    std::vector<Group> groups;

    /// \param path the TOML file
    /// \return the checked settings, or every error with its file, line and key, one a line.
    static Result<ControlSettings> load(const std::string &path);
};

} // namespace Pistachio::Settings
