#pragma once

#include "placement/reservations.h"
#include "placement/workerindex.h"

#include <optional>
#include <vector>

namespace Pistachio::Placement
{

/// Tasks to stop on one worker so that a unit fits there. The jobs library calls this preemption.
struct Displacement {
    WorkerSlot worker = 0;
    std::vector<TaskId> victims;
    std::uint32_t candidates = 0; ///< workers that were compared
};

/// \return how long work of this standing waits before it displaces other tasks, or nothing when it never does.
std::optional<Duration> displacementDelay(const Work &work);

/// Finds the worker with the lowest cost of stopped tasks. Only tasks that are marked displaceable in the index can be
/// victims: batch tasks with checkpoints, of lower standing, that were not displaced too often.
/// \param unit a single task
std::optional<Displacement> findDisplacement(const Unit &unit, const Priority &priority, TimePoint now,
                                             const WorkerIndex &workers, const Reservations &reservations);

/// \return whether the work may displace displaceable tasks of \p standing.
bool mayDisplace(const Work &work, Standing standing);

/// Finds the tasks to stop on reserved workers so that all tasks of the gang that holds the reservation fit.
/// \return one entry for each worker with victims; empty when stopping them would not be enough.
std::vector<Displacement> findGangDisplacements(const Unit &holder, const std::vector<WorkerSlot> &reserved,
                                                const WorkerIndex &workers);

/// \return whether a task placed with these properties may be displaced later.
bool isDisplaceable(const Work &work, std::uint32_t displacements);

} // namespace Pistachio::Placement
