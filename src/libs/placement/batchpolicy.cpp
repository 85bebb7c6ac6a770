#include "placement/placementpolicy.h"
#include "placement/reservations.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{

// Workers compared from each end of the index. It is ordered by free resources, so the best candidates come first.
constexpr std::uint32_t candidatesFromEachEnd = 8;
// Makes a worker on which the job failed the last choice.
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
        visitFittingWorkers(unit, context, LevelGrid::SearchOrder::BestFit,
                            [&](WorkerSlot slot) { return compare(slot, candidatesFromEachEnd); });
        if (best && context.packingPercent < 100) {
            const std::uint32_t limit = compared + candidatesFromEachEnd;
            visitFittingWorkers(unit, context, LevelGrid::SearchOrder::WorstFit,
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
        const double utilization = utilizationWith(worker, unit.work->resources);
        // Accelerators are packed at any weighting, since jobs that need many of them on one worker wait longest.
        const bool pack = unit.work->resources.accelerators > 0;
        const double score = pack ? utilization : packing * utilization + (1 - packing) * (1 - utilization);
        return score - worker.memoryPressure - (isAvoided(unit, worker) ? avoidedPenalty : 0);
    }
};

} // namespace

double utilizationWith(const WorkerEntry &worker, const Resources &added)
{
    const Resources after = worker.allocated + worker.held + added;
    const auto share = [](std::int64_t used, std::int64_t capacity) {
        return capacity > 0 ? static_cast<double>(used) / static_cast<double>(capacity) : 0.0;
    };
    const double cores = share(after.milliCores, worker.capacity.milliCores);
    const double memory = share(after.memoryBytes, worker.capacity.memoryBytes);
    const double coresAndMemory = (cores + memory) / 2;
    if (added.accelerators == 0)
        return coresAndMemory;
    constexpr double acceleratorWeight = 0.8;
    return acceleratorWeight * share(after.accelerators, worker.capacity.accelerators)
        + (1 - acceleratorWeight) * coresAndMemory;
}

bool mustLeaveAcceleratorShare(const Unit &unit, const PlacementContext &context)
{
    if (unit.work->resources.accelerators > 0 || context.reservations.isHolder(unit))
        return false;
    bool fitsWithoutAccelerators = false;
    // Workers are visited by number of accelerators, so the first one has the fewest.
    context.workers.visitCapacity(unit.work->resources, [&](WorkerSlot slot) {
        fitsWithoutAccelerators = context.workers.at(slot).capacity.accelerators == 0;
        return true;
    });
    return fitsWithoutAccelerators;
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
