#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <cstdint>
#include <set>
#include <unordered_map>

namespace Pistachio::Placement
{

/// Detects workers on which tasks fail that succeed on others. Such a worker is quarantined. After a pause one probe
/// task is placed on it, and its outcome ends or extends the quarantine. The pause doubles with each failed probe.
class WorkerHealth
{
public:
    enum class Mode : std::uint8_t {
        Healthy,
        Quarantined,
        ProbeDue, ///< one probe task may be placed
        Probing, ///< the probe task runs
    };

    /// Records the failure of a task.
    /// \param runTime of the task; only a failure before \ref earlyFailure is attributed to the worker
    /// \param failsElsewhere the booking failed on other workers too
    /// \return whether the worker became quarantined.
    bool recordFailure(TimePoint now, const WorkerId &worker, const BookingId &booking, Duration runTime,
                       bool failsElsewhere);

    /// Records that a task completed, or ran longer than it would on a faulty worker.
    void recordSuccess(const WorkerId &worker, const BookingId &booking);

    /// Records that a task was placed on the worker; on a quarantined worker it is the probe.
    void recordPlacement(const WorkerId &worker);
    /// Records that the probe ended without showing whether the worker is faulty.
    void recordProbeLost(const WorkerId &worker);

    [[nodiscard]] Mode mode(TimePoint now, const WorkerId &worker) const;
    /// \return when the pause of a quarantined worker ends.
    [[nodiscard]] TimePoint pauseEnd(const WorkerId &worker) const;
    void remove(const WorkerId &worker) { records_.erase(worker); }

    /// A failure within this time after the start may be the worker's fault.
    static constexpr Duration earlyFailure = 60s;

private:
    struct Record {
        std::set<BookingId> failedBookings; // distinct bookings since the last success
        Duration pause{};
        TimePoint pauseEnd{};
        bool quarantined = false;
        bool probing = false;
    };
    std::unordered_map<WorkerId, Record> records_;
};

} // namespace Pistachio::Placement
