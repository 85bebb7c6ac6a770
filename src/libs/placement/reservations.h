#pragma once

#include "placement/workerindex.h"

#include <optional>

namespace Pistachio::Placement
{

/// Workers kept for the oldest waiting large job of an accelerator class.
struct Reservation {
    TaskId holder; ///< first task of the unit
    std::shared_ptr<const Work> work;
    Priority priority;
    std::vector<WorkerSlot> workers;
    TimePoint start{}; ///< when the work on them is expected to have made room
    TimePoint refreshAt{};
    TimePoint since{};
};

/// At most one reservation for each accelerator class, so that waiting jobs never wait for each other's reservations.
class Reservations
{
public:
    /// Reserves the workers that are expected to have room for the unit first.
    /// \return whether the workers could hold the unit empty of batch work.
    bool reserve(TimePoint now, const Unit &unit, const Priority &priority, WorkerIndex &index);

    /// Estimates the starts again when due and drops reservations that lost a worker.
    /// \return whether a reservation was dropped.
    bool refresh(TimePoint now, WorkerIndex &index);

    /// Lets no more work use the reserved workers, since room is being made there.
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

    /// \return whether the unit may use the worker: it holds the reservation, goes before the holder, is expected to
    /// end before the reserved start, or can be displaced by the holder.
    [[nodiscard]] bool allows(TimePoint now, const Unit &unit, const Priority &priority,
                              const WorkerEntry &worker) const;

private:
    void drop(std::optional<Reservation> &reservation, WorkerIndex &index);

    std::array<std::optional<Reservation>, acceleratorClassCount> reservations_;
};

} // namespace Pistachio::Placement
