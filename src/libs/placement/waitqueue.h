#pragma once

#include "placement/quotaledger.h"
#include "placement/workerindex.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace Pistachio::Placement
{

/// Why a unit waits: its turn has not come, nothing fits, or the quota of its team is used up.
enum class WaitReason : std::uint8_t { Queued, Capacity, Quota };

/// The waiting units, grouped by shape: units with equal requirements and equal standing either all fit or all don't. A
/// shape that did not fit is blocked as a whole until a worker can run it, so that its units are not tried again
/// meanwhile. Units whose team has used up its quota are kept apart, by team.
class WaitQueue
{
public:
    struct ShapeKey {
        WorkKind kind = WorkKind::Batch;
        Standing standing = Standing::Normal;
        std::uint8_t runTimeClass = 0; ///< similar run times that backfill does not tell apart
        bool displaceable = false; ///< may use reserved workers until the reservation's holder starts
        std::uint32_t count = 1;
        std::int64_t milliCores = 0;
        std::int64_t memoryBytes = 0;
        std::int64_t accelerators = 0;

        auto operator<=>(const ShapeKey &) const = default;
    };

    struct Shape {
        ShapeKey key;
        Resources resources;
        std::map<Priority, Unit> units;
        bool blocked = false;
        Priority readyKey; ///< the key of the shape in the set of ready shapes
    };

    void add(Unit unit, unsigned packingPercent);
    /// \return the removed unit, or nothing when it is not in the queue.
    std::optional<Unit> remove(const TaskId &id);
    [[nodiscard]] bool contains(const TaskId &id) const { return locations_.contains(id); }
    [[nodiscard]] std::optional<WaitReason> waitReason(const TaskId &id) const;

    /// \return the ready shape whose first unit has the highest priority, or null.
    [[nodiscard]] Shape *first() const;

    /// Blocks a shape until it is unblocked, because its first unit does not fit.
    void block(Shape &shape);
    /// Unblocks the shapes that fit on one of the workers.
    /// \param slots workers with more available resources than before
    void unblockFitting(const std::vector<WorkerSlot> &slots, const WorkerIndex &workers);
    /// Unblocks one shape, if it still exists.
    void unblock(const ShapeKey &key);
    void unblockShapeOf(const TaskId &id);

    /// Blocks the first unit of a shape until its team uses less of its quota.
    void blockForQuota(Shape &shape);
    /// Returns units that were blocked for quota to their shapes, as far as the quota of the team allows.
    void unblockTeam(const TeamId &team, const QuotaLedger &quotas);
    void quotasChanged(const QuotaLedger &quotas);

    /// \return the shapes that are blocked.
    [[nodiscard]] std::vector<const Shape *> blockedShapes() const;
    [[nodiscard]] std::size_t size() const { return locations_.size(); }

private:
    struct Location {
        Shape *shape = nullptr; // null when blocked for quota
        TeamId team; // when blocked for quota
        Priority priority;
    };

    static ShapeKey keyOf(const Unit &unit);
    void insert(const Priority &priority, Unit unit);
    void updateReady(Shape &shape);
    void eraseIfEmpty(Shape &shape);

    std::map<ShapeKey, std::unique_ptr<Shape>> shapes_;
    std::map<Priority, Shape *> ready_;
    std::unordered_map<TeamId, std::map<Priority, Unit>> quotaBlocked_;
    std::unordered_map<TaskId, Location> locations_;
    std::uint64_t sequence_ = 0;
};

} // namespace Pistachio::Placement
