#pragma once

#include "placement/work.h"
#include "placement/workerindex.h"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Pistachio::Placement
{

class Reservations;

/// What a policy takes into account besides the unit.
struct PlacementContext {
    TimePoint now;
    const WorkerIndex &workers;
    const Reservations &reservations;
    unsigned packingPercent = 50; ///< 100 weighs only dense packing, 0 only short waiting times
};

/// The workers chosen for a unit.
struct Choice {
    std::vector<WorkerSlot> workers; ///< one for each task of the unit
    double score = 0;
    std::uint32_t candidates = 0; ///< workers that were compared
};

/// Strategy that chooses workers for one kind of work.
class PlacementPolicy
{
public:
    PlacementPolicy() = default;
    virtual ~PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy &) = delete;
    PlacementPolicy &operator=(const PlacementPolicy &) = delete;

    [[nodiscard]] virtual std::string_view name() const = 0;

    /// \param unit the waiting work
    /// \param priority of the unit
    /// \param context the workers and the reservations
    /// \return the workers for all tasks of the unit, or nothing when not all of them fit now.
    [[nodiscard]] virtual std::optional<Choice> choose(const Unit &unit, const Priority &priority,
                                                       const PlacementContext &context) const = 0;
};

/// Spreads the tasks of a service over racks.
std::unique_ptr<PlacementPolicy> makeServicePolicy();
/// Weighs dense packing against low utilization. Cores and memory that free accelerators need are kept for work with
/// accelerators.
std::unique_ptr<PlacementPolicy> makeBatchPolicy();
/// Places all tasks or none.
std::unique_ptr<PlacementPolicy> makeGangPolicy();

/// \return the utilization of the worker after \p added is allocated, from 0 to 1, weighted towards accelerators when
/// \p added has some.
double utilizationWith(const WorkerEntry &worker, const Resources &added);

/// \return whether the unit must not use the accelerator share of a worker, the cores and memory kept for its free
/// accelerators. This holds for units without accelerators that fit on workers without them and have no reservation.
bool mustLeaveAcceleratorShare(const Unit &unit, const PlacementContext &context);

/// Visits the workers that have enough free resources for one task of the unit.
template<class Visit>
void visitFittingWorkers(const Unit &unit, const PlacementContext &context, LevelGrid::SearchOrder order, Visit visit)
{
    if (mustLeaveAcceleratorShare(unit, context))
        context.workers.visitFreeBeyondAcceleratorShare(unit.work->resources, order, visit);
    else
        context.workers.visitFree(unit.work->resources, order, visit);
}

/// \return whether the unit failed on the worker before.
bool isAvoided(const Unit &unit, const WorkerEntry &worker);

} // namespace Pistachio::Placement
