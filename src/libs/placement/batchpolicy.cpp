#include "placement/placementpolicy.h"
#include "placement/reservations.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{

// Candidates compared from each end of the index. The index is ordered by what is left, so the best ones come first.
constexpr std::uint32_t candidatesFromEachEnd = 8;
// A worker where the job failed is taken only when nothing else fits.
constexpr double avoidedPenalty = 2.0;

class BatchPolicy final : public PlacementPolicy
{
public:
    [[nodiscard]] std::string_view name() const override { return "batch"; }

    [[nodiscard]] std::optional<Choice> choose(const Unit &unit, const Priority &priority,
                                               const PlacementContext &context) const override
    {
        std::optional<Choice> best;
        std::uint32_t compared = 0;
        const auto compare = [&](WorkerSlot slot, std::uint32_t limit) {
            const WorkerEntry &worker = context.workers.at(slot);
            if (!context.reservations.allows(context.now, unit, priority, worker))
                return false;
            const double score = scoreOf(unit, worker, context.packingPercent);
            if (!best || score > best->score)
                best = Choice{{slot}, score, 0};
            return ++compared >= limit;
        };
        visitRoom(unit, context, LevelGrid::SearchOrder::BestFit,
                  [&](WorkerSlot slot) { return compare(slot, candidatesFromEachEnd); });
        if (best && context.packingPercent < 100) {
            const std::uint32_t limit = compared + candidatesFromEachEnd;
            visitRoom(unit, context, LevelGrid::SearchOrder::WorstFit,
                      [&](WorkerSlot slot) { return compare(slot, limit); });
        }
        if (best)
            best->candidates = compared;
        return best;
    }

private:
    static double scoreOf(const Unit &unit, const WorkerEntry &worker, unsigned packingPercent)
    {
        const double packing = packingPercent / 100.0;
        const double full = fullness(worker, unit.work->resources);
        // Accelerators are packed whatever the weighting, since jobs that need many on one worker wait longest.
        const bool pack = unit.work->resources.accelerators > 0;
        const double score = pack ? full : packing * full + (1 - packing) * (1 - full);
        return score - worker.memoryPressure - (isAvoided(unit, worker) ? avoidedPenalty : 0);
    }
};

} // namespace

double fullness(const WorkerEntry &worker, const Resources &added)
{
    const Resources after = worker.allocated + worker.held + added;
    const auto share = [](std::int64_t used, std::int64_t capacity) {
        return capacity > 0 ? static_cast<double>(used) / static_cast<double>(capacity) : 0.0;
    };
    const double cores = share(after.milliCores, worker.capacity.milliCores);
    const double memory = share(after.memoryBytes, worker.capacity.memoryBytes);
    const double plain = (cores + memory) / 2;
    if (added.accelerators == 0)
        return plain;
    constexpr double acceleratorWeight = 0.8;
    return acceleratorWeight * share(after.accelerators, worker.capacity.accelerators)
        + (1 - acceleratorWeight) * plain;
}

bool mustLeaveAcceleratorShare(const Unit &unit, const PlacementContext &context)
{
    if (unit.work->resources.accelerators > 0 || context.reservations.isHolder(unit))
        return false;
    bool fitsPlain = false;
    // The first worker visited has the fewest accelerators.
    context.workers.visitCapacity(unit.work->resources, [&](WorkerSlot slot) {
        fitsPlain = context.workers.at(slot).capacity.accelerators == 0;
        return true;
    });
    return fitsPlain;
}

bool isAvoided(const Unit &unit, const WorkerEntry &worker)
{
    return std::find(unit.avoided.begin(), unit.avoided.end(), worker.id) != unit.avoided.end();
}

std::unique_ptr<PlacementPolicy> makeBatchPolicy()
{
    return std::make_unique<BatchPolicy>();
}

} // namespace Pistachio::Placement
