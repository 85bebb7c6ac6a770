#pragma once

/// \file
/// The scheduler of one availability zone. Only the leader of the zone group makes decisions with it; the other members
/// pass bookings and applied commands to theirs, so that they can take over at once.

#include "core/resources.h"
#include "core/taskid.h"
#include "core/time.h"
#include "scheduler/explanation.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Pistachio::Wire
{
class Booking;
class Configuration;
class WorkerSync;
class ZoneCommand;
class ZoneResult;
} // namespace Pistachio::Wire

namespace Pistachio::ZoneState
{
class ZoneState;
} // namespace Pistachio::ZoneState

namespace Pistachio::Scheduler
{

struct Commands; // scheduler/commands.h

/// The time of an event and what is known about the leadership at that time.
struct EventContext {
    TimePoint time;
    std::int64_t unixMs = 0; ///< wall clock; for start and end dates and log entries, never for leases
    bool hasLeaderLease = false; ///< Replica::hasLeaderLease() at \p time; required to decide and to renew leases
    /// Replica::leadershipConfirmedAt() at \p time; a sync is answered only if it arrived no later.
    TimePoint leadershipConfirmedAt;
};

/// The state of a worker as shown to operators.
struct WorkerView {
    WorkerId worker;
    std::string rack;
    Resources capacity;
    Resources allocated;
    Resources usage;
    std::uint32_t tasks = 0;
    bool leaving = false;
    bool draining = false;
    bool quarantined = false;
    TimePoint lastSync{};
};

/// Places the tasks of bookings on workers and manages the workers' leases.
class ZoneScheduler
{
public:
    /// \param zone the name of the zone; bookings with another home zone are ignored
    /// \param state the committed zone state, which must outlive the scheduler
    /// \param seed unused
    ZoneScheduler(std::string zone, const ZoneState::ZoneState &state, std::uint64_t seed);
    ~ZoneScheduler();
    ZoneScheduler(const ZoneScheduler &) = delete;
    ZoneScheduler &operator=(const ZoneScheduler &) = delete;

    /// Sets the bookings and the configuration of the cell. Tasks of bookings that are no longer among them are stopped
    /// with their grace period.
    void bookingsChanged(const EventContext &now, std::span<const Wire::Booking> bookings,
                         const Wire::Configuration &configuration);

    /// Handles the gain or loss of the leadership of the zone group. To be called for a gain only after all log entries
    /// of previous terms are applied to the zone state. A loss discards the outstanding syncs; the caller answers them.
    /// \param term the term of the zone group, used as the epoch of the orders
    void leadershipChanged(const EventContext &now, std::uint64_t term, bool isLeader);

    /// Handles a worker's report. takeCommands() returns the answer at once or within the poll interval. A newer sync
    /// of the same worker replaces an outstanding one, which is then not answered.
    void workerSync(const EventContext &now, const Wire::WorkerSync &sync);

    /// Handles a command that was applied to the zone state, whichever instance proposed it.
    /// \param command the applied command
    /// \param result the result from the state machine
    void applied(const EventContext &now, const Wire::ZoneCommand &command, const Wire::ZoneResult &result);

    /// Handles a proposal that was not appended to the log and will never be applied.
    void proposalRejected(const EventContext &now, const Wire::ZoneCommand &command);

    /// Rebuilds the leader's state after the zone state was replaced by a snapshot.
    void stateRestored(const EventContext &now);

    /// Handles the timers that are due. To be called at least every 100 ms.
    void tick(const EventContext &now);

    /// \return the commands that arose since the last call, to be executed in order.
    Commands takeCommands();

    /// \return the state of \p booking and the reason for it.
    [[nodiscard]] Explanation explain(const BookingId &booking) const;

    /// \return the known workers, sorted by identifier.
    [[nodiscard]] std::vector<WorkerView> workers() const;

    /// \return whether this instance leads the zone group, so that syncs are accepted.
    [[nodiscard]] bool isLeader() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Pistachio::Scheduler
