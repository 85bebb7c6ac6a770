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

/// What a policy looks at besides the unit.
struct PlacementContext {
    TimePoint now;
    const WorkerIndex &workers;
    const Reservations &reservations;
    unsigned packingPercent = 50; ///< 100: packing only, 0: waiting time only
};

/// The workers chosen for a unit.
struct Choice {
    std::vector<WorkerSlot> workers; ///< one for each task of the unit
    double score = 0;
    std::uint32_t candidates = 0; ///< workers that were compared
};

/// Chooses workers for one kind of work.
class PlacementPolicy
{
public:
    PlacementPolicy() = default;
    virtual ~PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy &) = delete;
    PlacementPolicy &operator=(const PlacementPolicy &) = delete;

    [[nodiscard]] virtual std::string_view name() const = 0;

    /// \param unit the waiting work
    /// \param priority its place in the order
    /// \param context the workers and the reservations
    /// \return the workers for all tasks of the unit, or nothing when they do not fit now.
    [[nodiscard]] virtual std::optional<Choice> choose(const Unit &unit, const Priority &priority,
                                                       const PlacementContext &context) const = 0;
};

/// Spreads the tasks of a service over racks.
std::unique_ptr<PlacementPolicy> makeServicePolicy();
/// Packs densely and keeps workers with free accelerators for work that needs them.
std::unique_ptr<PlacementPolicy> makeBatchPolicy();
/// Places all tasks or none.
std::unique_ptr<PlacementPolicy> makeGangPolicy();

/// \return how full the worker would be with \p added, from 0 to 1; by accelerators where it has some.
double fullness(const WorkerEntry &worker, const Resources &added);

/// \return whether the unit has to leave the cores and the memory that free accelerators need: it needs no
/// accelerators, fits on workers without them, and has no workers reserved.
bool mustLeaveAcceleratorShare(const Unit &unit, const PlacementContext &context);

/// Visits the workers with room for one task of the unit.
template<class Visit>
void visitRoom(const Unit &unit, const PlacementContext &context, LevelGrid::SearchOrder order, Visit visit)
{
    if (mustLeaveAcceleratorShare(unit, context))
        context.workers.visitFreeBesideAccelerators(unit.work->resources, order, visit);
    else
        context.workers.visitFree(unit.work->resources, order, visit);
}

/// \return whether the unit failed on the worker before.
bool isAvoided(const Unit &unit, const WorkerEntry &worker);

} // namespace Pistachio::Placement
