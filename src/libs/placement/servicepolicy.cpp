#include "placement/placementpolicy.h"
#include "placement/reservations.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{

constexpr std::uint32_t comparedCandidates = 16;
// Further workers looked at for a rack without tasks of the service.
constexpr std::uint32_t visitedCandidates = 128;
constexpr double sameRackPenalty = 10.0;
constexpr double sameWorkerPenalty = 5.0;
// Services stay for long; on a worker with accelerators they would take cores from work that needs these.
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
        const bool plain = unit.work->resources.accelerators == 0;
        std::optional<Choice> best;
        std::uint32_t compared = 0;
        std::uint32_t visited = 0;
        const auto consider = [&](WorkerSlot slot) {
            const WorkerEntry &worker = context.workers.at(slot);
            if (!context.reservations.allows(context.now, unit, priority, worker))
                return false;
            ++visited;
            const auto rack = std::find_if(racks.begin(), racks.end(),
                                           [&](const auto &entry) { return entry.first == worker.rackNumber; });
            const std::uint32_t inRack = rack == racks.end() ? 0 : rack->second;
            double score
                = weighted(fullness(worker, unit.work->resources), context.packingPercent) - worker.memoryPressure;
            score -= sameRackPenalty * inRack;
            if (inRack > 0)
                score -= sameWorkerPenalty * static_cast<double>(countOnWorker(unit, worker));
            if (plain && worker.capacity.accelerators > 0)
                score -= acceleratorWorkerPenalty;
            if (isAvoided(unit, worker))
                score -= avoidedPenalty;
            if (!best || score > best->score)
                best = Choice{{slot}, score, 0};
            if (inRack == 0)
                ++compared;
            return compared >= comparedCandidates || visited >= visitedCandidates;
        };
        const auto order
            = context.packingPercent >= 50 ? LevelGrid::SearchOrder::BestFit : LevelGrid::SearchOrder::WorstFit;
        context.workers.visitFree(unit.work->resources, order, consider);
        if (best)
            best->candidates = visited;
        return best;
    }

private:
    static double weighted(double full, unsigned packingPercent)
    {
        const double packing = packingPercent / 100.0;
        return packing * full + (1 - packing) * (1 - full);
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
