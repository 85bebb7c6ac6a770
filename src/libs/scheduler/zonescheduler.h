#pragma once

/// \file
/// The scheduler of one availability zone. Only the leader of the zone group uses it to decide; other members keep one
/// and feed it bookings and applied commands, so that they can take over at once.

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

/// The time of an event as the caller sees it.
struct EventContext {
    TimePoint time;
    std::int64_t unixMs = 0; ///< for start and end dates and for log entries, never for leases
    bool hasAuthority
        = false; ///< Replica::hasAuthority at \p time; leases are renewed and work is decided only with it
    TimePoint confirmed; ///< Replica::confirmedAt at \p time; a sync is answered only when it arrived no later
};

/// A worker as shown to operators.
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

/// Places booked work on workers and keeps their leases.
class ZoneScheduler
{
public:
    /// \param zone the zone it schedules; only bookings with this home zone are placed
    /// \param state the committed zone state, which must outlive the scheduler
    /// \param seed for all random choices
    ZoneScheduler(std::string zone, const ZoneState::ZoneState &state, std::uint64_t seed);
    ~ZoneScheduler();
    ZoneScheduler(const ZoneScheduler &) = delete;
    ZoneScheduler &operator=(const ZoneScheduler &) = delete;

    /// Takes the bookings and the configuration of the cell. Bookings that are gone are ended with their grace period.
    void bookingsChanged(const EventContext &now, std::span<const Wire::Booking> bookings,
                         const Wire::Configuration &configuration);

    /// Tells that this instance gained or lost the leadership of the zone group. A gain is told once all entries of
    /// earlier terms are applied to the zone state. Outstanding syncs are dropped on a loss; the caller answers them.
    /// \param term the term of the zone group, used as the epoch of the orders
    void leadershipChanged(const EventContext &now, std::uint64_t term, bool isLeader);

    /// Takes a worker's report. The answer comes from takeCommands(), at once or within the poll interval. A newer sync
    /// of the same worker replaces an outstanding one, which is then not answered.
    void workerSync(const EventContext &now, const Wire::WorkerSync &sync);

    /// Tells that a command was applied to the zone state, whoever proposed it.
    /// \param command the applied command
    /// \param result what the state machine returned
    void applied(const EventContext &now, const Wire::ZoneCommand &command, const Wire::ZoneResult &result);

    /// Tells that a proposal was not appended and will never be applied.
    void proposalRejected(const EventContext &now, const Wire::ZoneCommand &command);

    /// Tells that the zone state was replaced by a snapshot.
    void stateRestored(const EventContext &now);

    /// Lets time pass; expected at least every 100 ms.
    void tick(const EventContext &now);

    /// \return what is to be done since the last call, to be carried out in order.
    Commands takeCommands();

    /// \param booking the booking
    /// \return its state and the reason.
    [[nodiscard]] Explanation explain(const BookingId &booking) const;

    /// \return the known workers, by identifier.
    [[nodiscard]] std::vector<WorkerView> workers() const;

    /// \return whether syncs are accepted.
    [[nodiscard]] bool isLeader() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Pistachio::Scheduler
