#pragma once

/// \file
/// The replicated state of one availability zone. All members of the zone group apply the same commands in log order
/// and hold the same state; nothing here reads a clock or a random source.

#include "zonestate/requesttable.h"
#include "zonestate/tasktable.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace Pistachio::Wire
{
class ConfigurationFloor;
class ZoneCommand;
class ZoneResult;
} // namespace Pistachio::Wire

namespace Pistachio::ZoneState
{

/// The state machine of a zone group.
class ZoneState
{
public:
    /// Applies one committed command.
    /// \param command the command
    /// \return the same result on every member.
    Wire::ZoneResult apply(const Wire::ZoneCommand &command);

    /// \return the whole state, equal on all members that applied the same commands.
    [[nodiscard]] std::string snapshot() const;

    /// Replaces the state.
    /// \param snapshot the bytes that snapshot() returned
    Result<void> restore(std::string_view snapshot);

    [[nodiscard]] const TaskTable &tasks() const { return tasks_; }
    [[nodiscard]] const RequestTable &requests() const { return requests_; }
    [[nodiscard]] std::uint64_t configurationFloor() const { return configurationFloor_; }

    /// \return the oldest revision of the cell's bookings that a leader of the zone may act on.
    [[nodiscard]] std::uint64_t bookingsFloor() const { return bookingsFloor_; }
    [[nodiscard]] bool isDraining(const WorkerId &worker) const { return draining_.contains(worker); }
    [[nodiscard]] const std::set<WorkerId> &drainingWorkers() const { return draining_; }

private:
    Wire::ZoneResult raiseFloor(const Wire::ConfigurationFloor &floor);
    Wire::ZoneResult applyTaskCommand(const Wire::ZoneCommand &command);

    TaskTable tasks_;
    RequestTable requests_;
    std::uint64_t configurationFloor_ = 0;
    std::uint64_t bookingsFloor_ = 0;
    std::set<WorkerId> draining_;
};

} // namespace Pistachio::ZoneState
