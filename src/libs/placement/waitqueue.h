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

/// Why a unit waits.
enum class WaitReason : std::uint8_t { Queued, Capacity, Quota };

/// The waiting work, by shape: units that need the same and have the same standing fit or fail alike. A shape that did
/// not fit is blocked as a whole until a worker with room for it appears, so its units cost nothing meanwhile. Units
/// whose team has used up its quota wait aside.
class WaitQueue
{
public:
    struct ShapeKey {
        WorkKind kind = WorkKind::Batch;
        Standing standing = Standing::Normal;
        std::uint8_t runTimeClass = 0; ///< run times that backfill treats alike
        bool displaceable = false; ///< may use reserved workers until the holder starts
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
        Priority readyKey; ///< the key under which the shape is in the ready set
    };

    void add(Unit unit, unsigned packingPercent);
    /// \return the removed unit, or nothing when it does not wait here.
    std::optional<Unit> remove(const TaskId &id);
    [[nodiscard]] bool contains(const TaskId &id) const { return locations_.contains(id); }
    [[nodiscard]] std::optional<WaitReason> waitReason(const TaskId &id) const;

    /// \return the shape with the first unit that may fit, or null.
    [[nodiscard]] Shape *first() const;

    /// Blocks a shape until it is woken.
    void block(Shape &shape);
    /// Makes blocked shapes with room on one of the workers ready.
    /// \param slots workers with more room than before
    void unblockFitting(const std::vector<WorkerSlot> &slots, const WorkerIndex &workers);
    /// Makes one blocked shape ready, if it still exists.
    void unblock(const ShapeKey &key);
    void unblockShapeOf(const TaskId &id);

    /// Moves the first unit of a shape aside until its team uses less.
    void blockForQuota(Shape &shape);
    /// Returns the units of a team that are aside, as far as its quota allows.
    void unblockTeam(const TeamId &team, const QuotaLedger &quotas);
    void quotasChanged(const QuotaLedger &quotas);

    /// \return the blocked units at the head of their shapes.
    [[nodiscard]] std::vector<const Shape *> blockedShapes() const;
    [[nodiscard]] std::size_t size() const { return locations_.size(); }

private:
    struct Location {
        Shape *shape = nullptr; // null when parked
        TeamId team; // when parked
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
