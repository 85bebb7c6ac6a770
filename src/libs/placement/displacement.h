#pragma once

#include "placement/reservations.h"
#include "placement/workerindex.h"

#include <optional>
#include <vector>

namespace Pistachio::Placement
{

/// Tasks to stop on one worker so that a unit fits there.
struct Displacement {
    WorkerSlot worker = 0;
    std::vector<TaskId> victims;
    std::uint32_t candidates = 0;
};

/// \return how long work of this standing waits before it displaces other work; nothing when it never does.
std::optional<Duration> displacementDelay(const Work &work);

/// Finds the worker where the least work has to stop. Only tasks that the index holds as displaceable are stopped:
/// batch work with checkpoints, of lower standing, that was not displaced too often.
/// \param unit a single task
std::optional<Displacement> findDisplacement(const Unit &unit, const Priority &priority, TimePoint now,
                                             const WorkerIndex &workers, const Reservations &reservations);

/// \return whether the work may displace displaceable tasks of that standing.
bool mayDisplace(const Work &work, Standing standing);

/// Finds the tasks on reserved workers that have to stop so that all tasks of the holder fit.
/// \return one entry for each worker with victims; empty when stopping them would not be enough.
std::vector<Displacement> findGangDisplacements(const Unit &holder, const std::vector<WorkerSlot> &reserved,
                                                const WorkerIndex &workers);

/// \return whether a task placed with these properties may be displaced later.
bool isDisplaceable(const Work &work, std::uint32_t displacements);

} // namespace Pistachio::Placement
