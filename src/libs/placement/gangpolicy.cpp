#include "placement/placementpolicy.h"
#include "placement/reservations.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{

class GangPolicy final : public PlacementPolicy
{
public:
    [[nodiscard]] std::string_view name() const override { return "gang"; }

    [[nodiscard]] std::optional<Choice> choose(const Unit &unit, const Priority &priority,
                                               const PlacementContext &context) const override
    {
        const Resources &need = unit.work->resources;
        const std::size_t taskCount = unit.tasks.size();
        const bool leaveAcceleratorShare = mustLeaveAcceleratorShare(unit, context);
        Choice choice;
        double utilizationSum = 0;
        const auto addTasks = [&](WorkerSlot slot, bool avoided) {
            const WorkerEntry &worker = context.workers.at(slot);
            if (worker.singleTask || isAvoided(unit, worker) != avoided
                || !context.reservations.allows(context.now, unit, priority, worker))
                return false;
            Resources usage = need;
            ++choice.candidates;
            const Resources available = leaveAcceleratorShare ? worker.freeBeyondAcceleratorShare() : worker.free();
            while (choice.workers.size() < taskCount && usage.fitsIn(available)) {
                choice.workers.push_back(slot);
                utilizationSum += utilizationWith(worker, usage);
                usage += need;
            }
            return choice.workers.size() >= taskCount;
        };
        const auto order
            = context.packingPercent >= 50 ? LevelGrid::SearchOrder::BestFit : LevelGrid::SearchOrder::WorstFit;
        visitFittingWorkers(unit, context, order, [&](WorkerSlot slot) { return addTasks(slot, false); });
        if (choice.workers.size() < taskCount && !unit.avoided.empty())
            visitFittingWorkers(unit, context, order, [&](WorkerSlot slot) { return addTasks(slot, true); });
        if (choice.workers.size() < taskCount)
            return std::nullopt;
        choice.score = utilizationSum / static_cast<double>(taskCount);
        return choice;
    }
};

} // namespace

std::unique_ptr<PlacementPolicy> makeGangPolicy()
{
    return std::make_unique<GangPolicy>();
}

} // namespace Pistachio::Placement
