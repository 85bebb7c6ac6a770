#pragma once

#include "placement/workerindex.h"

#include <optional>

namespace Pistachio::Placement
{

/// Workers reserved for the large unit of an accelerator class that is first in priority.
struct Reservation {
    TaskId holder; ///< first task of the unit
    std::shared_ptr<const Work> work;
    Priority priority;
    std::vector<WorkerSlot> workers;
    TimePoint start{}; ///< when the unit is expected to fit on the workers
    TimePoint refreshAt{}; ///< when the expected start is checked next
    TimePoint since{};
};

/// Holds at most one reservation per accelerator class, so that jobs never wait for each other's reservations.
class Reservations
{
public:
    /// Reserves the workers on which the unit is expected to fit earliest.
    /// \return false when the unit would not fit even after all batch work had ended.
    bool reserve(TimePoint now, const Unit &unit, const Priority &priority, WorkerIndex &index);

    /// Moves expected starts that have passed to \p now, when a check is due, and drops reservations with a worker that
    /// no longer accepts work.
    /// \return whether a reservation was dropped.
    bool refresh(TimePoint now, WorkerIndex &index);

    /// Moves the expected start to \p now at the latest, so that no run is short enough for backfill on these workers.
    /// Called when tasks on them are stopped for the holder.
    void expectStartNow(TimePoint now, AcceleratorClass acceleratorClass);

    /// Ends the reservation of a unit that was placed or withdrawn.
    /// \return whether it had one.
    bool release(const TaskId &holder, WorkerIndex &index);

    [[nodiscard]] const std::optional<Reservation> &of(AcceleratorClass acceleratorClass) const
    {
        return reservations_[static_cast<std::size_t>(acceleratorClass)];
    }

    /// \return whether workers are reserved for the unit.
    [[nodiscard]] bool isHolder(const Unit &unit) const;

    /// \return whether the unit may use the worker: the worker is not reserved, or the unit holds the reservation, has
    /// a higher priority than the holder, is expected to end before the reserved start, or can be displaced by the
    /// holder.
    [[nodiscard]] bool allows(TimePoint now, const Unit &unit, const Priority &priority,
                              const WorkerEntry &worker) const;

private:
    void drop(std::optional<Reservation> &reservation, WorkerIndex &index);

    std::array<std::optional<Reservation>, acceleratorClassCount> reservations_;
};

} // namespace Pistachio::Placement
