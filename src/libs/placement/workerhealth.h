#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <cstdint>
#include <set>
#include <unordered_map>

namespace Pistachio::Placement
{

/// Finds workers that fail what runs elsewhere. Such a worker is quarantined; after the pause one probe task is placed
/// on it, and its outcome decides. The pause doubles with each failed probe.
class WorkerHealth
{
public:
    enum class Mode : std::uint8_t {
        Healthy,
        Quarantined,
        ProbeDue, ///< one task may be placed
        Probing, ///< the probe task runs
    };

    /// Takes a failure of a task.
    /// \param ran how long the task ran; only early failures speak against the worker
    /// \param failsElsewhere the booking failed on other workers too
    /// \return whether the worker became quarantined.
    bool recordFailure(TimePoint now, const WorkerId &worker, const BookingId &booking, Duration ran,
                       bool failsElsewhere);

    /// Takes a task that completed or has run longer than a faulty worker lets it.
    void recordSuccess(const WorkerId &worker, const BookingId &booking);

    /// Tells that a task was placed on the worker.
    void recordPlacement(const WorkerId &worker);
    /// Tells that the probe ended without a verdict on the worker.
    void recordProbeLost(const WorkerId &worker);

    [[nodiscard]] Mode mode(TimePoint now, const WorkerId &worker) const;
    /// \return when the pause of a quarantined worker ends.
    [[nodiscard]] TimePoint pauseEnd(const WorkerId &worker) const;
    void remove(const WorkerId &worker) { records_.erase(worker); }

    /// A failure within this time of the start may be the worker's fault.
    static constexpr Duration earlyFailure = 60s;

private:
    struct Record {
        std::set<BookingId> failed; // distinct bookings since the last success
        Duration pause{};
        TimePoint until{};
        bool quarantined = false;
        bool probing = false;
    };
    std::unordered_map<WorkerId, Record> records_;
};

} // namespace Pistachio::Placement
