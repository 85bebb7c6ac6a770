#include "placement/placementpolicy.h"
#include "placement/reservations.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{

// Workers compared in racks without tasks of the service.
constexpr std::uint32_t maxWorkersInNewRacks = 16;
// Bounds the search when few of the workers are in racks without tasks of the service.
constexpr std::uint32_t maxVisitedWorkers = 128;
// The penalties below are subtracted from the weighted utilization, which is from 0 to 1.
constexpr double sameRackPenalty = 10.0;
constexpr double sameWorkerPenalty = 5.0;
// Services run for a long time; on a worker with accelerators they would use cores that work with accelerators needs.
constexpr double acceleratorWorkerPenalty = 20.0;
constexpr double avoidedPenalty = 40.0;

class ServicePolicy final : public PlacementPolicy
{
public:
    [[nodiscard]] std::string_view name() const override { return "service"; }

    [[nodiscard]] std::optional<Choice> choose(const Unit &unit, const Priority &priority,
                                               const PlacementContext &context) const override
    {
        const auto &racks = context.workers.racksOf(unit.work->booking);
        const bool withoutAccelerators = unit.work->resources.accelerators == 0;
        std::optional<Choice> best;
        std::uint32_t inNewRacks = 0;
        std::uint32_t visited = 0;
        const auto consider = [&](WorkerSlot slot) {
            const WorkerEntry &worker = context.workers.at(slot);
            if (!context.reservations.allows(context.now, unit, priority, worker))
                return false;
            ++visited;
            const auto rack = std::find_if(racks.begin(), racks.end(),
                                           [&](const auto &entry) { return entry.first == worker.rackNumber; });
            const std::uint32_t tasksInRack = rack == racks.end() ? 0 : rack->second;
            double score = weightedUtilization(utilizationWith(worker, unit.work->resources), context.packingPercent)
                - worker.memoryPressure;
            score -= sameRackPenalty * tasksInRack;
            if (tasksInRack > 0)
                score -= sameWorkerPenalty * static_cast<double>(countOnWorker(unit, worker));
            if (withoutAccelerators && worker.capacity.accelerators > 0)
                score -= acceleratorWorkerPenalty;
            if (isAvoided(unit, worker))
                score -= avoidedPenalty;
            if (!best || score > best->score)
                best = Choice{{slot}, score, 0};
            if (tasksInRack == 0)
                ++inNewRacks;
            return inNewRacks >= maxWorkersInNewRacks || visited >= maxVisitedWorkers;
        };
        const auto order
            = context.packingPercent >= 50 ? LevelGrid::SearchOrder::BestFit : LevelGrid::SearchOrder::WorstFit;
        context.workers.visitFree(unit.work->resources, order, consider);
        if (best)
            best->candidates = visited;
        return best;
    }

private:
    static double weightedUtilization(double utilization, unsigned packingPercent)
    {
        const double packing = packingPercent / 100.0;
        return packing * utilization + (1 - packing) * (1 - utilization);
    }

    static std::int64_t countOnWorker(const Unit &unit, const WorkerEntry &worker)
    {
        return std::count_if(worker.tasks.begin(), worker.tasks.end(),
                             [&](const PlacedTask &task) { return task.task.booking == unit.work->booking; });
    }
};

} // namespace

std::unique_ptr<PlacementPolicy> makeServicePolicy()
{
    return std::make_unique<ServicePolicy>();
}

} // namespace Pistachio::Placement
