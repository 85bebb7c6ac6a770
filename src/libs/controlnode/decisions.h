#pragma once

#include "controlnode/clusterreports.h"
#include "controlnode/directory.h"
#include "controlnode/events.h"
#include "controlnode/operatorrequests.h"
#include "controlnode/peercalls.h"
#include "controlnode/statemachines.h"
#include "controlnode/upkeep.h"
#include "controlnode/zonerouter.h"

#include <memory>
#include <string>
#include <vector>

namespace Pistachio::Logging
{
class Logger;
}

namespace Pistachio::Metrics
{
class Registry;
}

namespace Pistachio::Settings
{
struct ControlSettings;
}

namespace Pistachio::Controlnode
{

/// The decision thread: the groups, the schedulers and all answers that depend on them.
///
/// Each round handles the events that have arrived, lets time pass, and then writes and syncs once for each group.
class Decisions
{
public:
    Decisions(const Settings::ControlSettings &settings, Storage::FileSystem &fileSystem, EventRing &events,
              Network &network, Logging::Logger &logger, Metrics::Registry &metrics);
    ~Decisions();

    /// Opens the groups that the settings assign to this instance.
    Result<void> open();

    /// Runs until StopRequested.
    /// \return the process's exit code; not 0 when a replica failed for good.
    int run();

private:
    Result<void> openCell();
    Result<void> openZones();
    [[nodiscard]] Storage::GroupOptions groupOptions(const GroupId &group) const;
    [[nodiscard]] std::uint64_t seed(std::string_view purpose) const;

    void handle(Event &event);
    void handle(IncomingRequest &request);
    void receiveReplication(const std::string &body);
    void flushGroups();
    bool flushGroup(Storage::GroupHost &group);
    void sendMessages(std::vector<Replication::Message> messages);
    [[nodiscard]] bool hasFailedGroup() const;
    void tick(TimePoint now);
    void updateStatus(TimePoint now);
    void logDecision(const ZoneId &zone, const Scheduler::DecisionRecord &decision);
    void fillReport(Wire::ControlReport &report) const;
    [[nodiscard]] Operatorapi::StatusView status() const;
    [[nodiscard]] std::string cellRole() const;
    [[nodiscard]] Storage::GroupHost *findGroup(const GroupId &group);

    const Settings::ControlSettings &settings_;
    EventRing &events_;
    Network &network_;
    Logging::Logger &logger_;
    Metrics::Registry &metrics_;
    Storage::FileSystem &fileSystem_;
    Directory directory_;
    PeerCalls calls_;
    CellMachine cellMachine_;
    std::unique_ptr<Storage::GroupHost> cell_;
    ZoneRouter::Zones zones_;
    ZoneRouter router_;
    ClusterReports reports_;
    std::unique_ptr<OperatorRequests> operators_;
    std::unique_ptr<Upkeep> upkeep_;
    TimePoint statusUpdated_;
    std::size_t seenInstances_ = 0;
    std::string loggedLeaders_;
    bool stopping_ = false;
};

} // namespace Pistachio::Controlnode
