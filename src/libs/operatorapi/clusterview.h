#pragma once

#include "core/identifier.h"
#include "core/resources.h"
#include "core/taskid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Pistachio::Operatorapi
{

/// A task as its home zone last reported it.
struct TaskView {
    TaskId task;
    std::uint64_t incarnation = 0;
    std::string state; ///< "waiting", "prepared", "running" or "ended"
    WorkerId worker; ///< empty while waiting
    std::string reason; ///< why it ended or waits
};

/// Why the tasks of a booking are where they are.
struct Explanation {
    std::string summary;
    std::vector<std::string> reasons;
    bool isStale = false; ///< the home zone can't be reached; this is what it last reported
};

struct WorkerView {
    WorkerId id;
    ZoneId zone;
    std::string rack;
    Resources capacity;
    Resources allocated;
    std::uint32_t tasks = 0;
    std::string state; ///< "ready", "draining", "leaving", "quarantined" or "lost"
    std::string reason;
};

struct InstanceView {
    InstanceId id;
    ZoneId zone;
    std::string role; ///< "leader", "voter", "learner" or "entry"
    std::string operatorAddress;
    bool isReachable = false;
    std::uint64_t sheetVersion = 0; ///< in force there
    std::uint64_t configurationVersion = 0; ///< in force there
};

struct ZoneStatus {
    ZoneId zone;
    InstanceId leader; ///< empty when none is known
    bool isReachable = false;
    std::uint32_t workers = 0;
    std::uint32_t runningTasks = 0;
    std::uint32_t waitingTasks = 0;
};

struct StatusView {
    InstanceId answeredBy;
    InstanceId cellLeader; ///< empty when none is known
    std::string leaderAddress; ///< of the cell leader's operator port
    std::uint64_t term = 0;
    std::uint64_t appliedIndex = 0;
    std::vector<ZoneStatus> zones;
};

/// The largest workers of a zone: each worker of the zone is covered by one of the capacities.
struct ZoneCapacityView {
    ZoneId zone;
    std::vector<Resources> workers;
};

/// What the control process knows beyond the cell state. All calls are made from the thread that calls OperatorApi.
class ClusterView
{
public:
    virtual ~ClusterView() = default;

    [[nodiscard]] virtual std::vector<TaskView> tasks(const BookingId &booking) const = 0;
    [[nodiscard]] virtual Explanation explain(const BookingId &booking) const = 0;
    [[nodiscard]] virtual std::vector<WorkerView> workers() const = 0;

    /// \return control and entry instances, reachable or not; versions in force are counted over these.
    [[nodiscard]] virtual std::vector<InstanceView> instances() const = 0;
    [[nodiscard]] virtual StatusView status() const = 0;

    /// \return the zones whose workers are known; a zone that is missing can't refuse a booking.
    [[nodiscard]] virtual std::vector<ZoneCapacityView> capacities() const = 0;
};

} // namespace Pistachio::Operatorapi
