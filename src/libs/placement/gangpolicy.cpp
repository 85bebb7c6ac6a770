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
        const std::size_t wanted = unit.tasks.size();
        const bool leaveShare = mustLeaveAcceleratorShare(unit, context);
        Choice choice;
        double sum = 0;
        const auto take = [&](WorkerSlot slot, bool avoided) {
            const WorkerEntry &worker = context.workers.at(slot);
            if (worker.singleTask || isAvoided(unit, worker) != avoided
                || !context.reservations.allows(context.now, unit, priority, worker))
                return false;
            Resources used = need;
            ++choice.candidates;
            const Resources room = leaveShare ? worker.freeBesideAccelerators() : worker.free();
            while (choice.workers.size() < wanted && used.fitsIn(room)) {
                choice.workers.push_back(slot);
                sum += fullness(worker, used);
                used += need;
            }
            return choice.workers.size() >= wanted;
        };
        const auto order
            = context.packingPercent >= 50 ? LevelGrid::SearchOrder::BestFit : LevelGrid::SearchOrder::WorstFit;
        visitRoom(unit, context, order, [&](WorkerSlot slot) { return take(slot, false); });
        if (choice.workers.size() < wanted && !unit.avoided.empty())
            visitRoom(unit, context, order, [&](WorkerSlot slot) { return take(slot, true); });
        if (choice.workers.size() < wanted)
            return std::nullopt;
        choice.score = sum / static_cast<double>(wanted);
        return choice;
    }
};

} // namespace

std::unique_ptr<PlacementPolicy> makeGangPolicy()
{
    return std::make_unique<GangPolicy>();
}

} // namespace Pistachio::Placement
