#include "placement/waitqueue.h"

#include "placement/displacement.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{
// Upper limits of the run time classes: the usual times until a reserved start, before which backfilled work must end.
constexpr std::array<Duration, 4> runTimeClassLimits = {1min, 5min, 20min, 2h};
} // namespace

WaitQueue::ShapeKey WaitQueue::keyOf(const Unit &unit)
{
    const Work &work = *unit.work;
    const auto runTimeClass = work.kind == WorkKind::Service
        ? runTimeClassLimits.end()
        : std::lower_bound(runTimeClassLimits.begin(), runTimeClassLimits.end(), work.estimatedRun);
    return {work.kind,
            work.standing,
            static_cast<std::uint8_t>(runTimeClass - runTimeClassLimits.begin()),
            isDisplaceable(work, unit.displacements),
            static_cast<std::uint32_t>(unit.tasks.size()),
            work.resources.milliCores,
            work.resources.memoryBytes,
            work.resources.accelerators};
}

void WaitQueue::add(Unit unit, unsigned packingPercent)
{
    const Priority priority = priorityOf(unit, packingPercent, ++sequence_);
    insert(priority, std::move(unit));
}

void WaitQueue::insert(const Priority &priority, Unit unit)
{
    const ShapeKey key = keyOf(unit);
    auto &slot = shapes_[key];
    if (!slot) {
        slot = std::make_unique<Shape>();
        slot->key = key;
        slot->resources = unit.work->resources;
    }
    locations_[unit.id()] = {slot.get(), {}, priority};
    slot->units.emplace(priority, std::move(unit));
    updateReady(*slot);
}

std::optional<Unit> WaitQueue::remove(const TaskId &id)
{
    const auto location = locations_.find(id);
    if (location == locations_.end())
        return std::nullopt;
    const Location found = location->second;
    locations_.erase(location);
    if (found.shape == nullptr) {
        auto &units = quotaBlocked_[found.team];
        const auto unit = units.find(found.priority);
        Unit removed = std::move(unit->second);
        units.erase(unit);
        return removed;
    }
    const auto unit = found.shape->units.find(found.priority);
    Unit removed = std::move(unit->second);
    found.shape->units.erase(unit);
    updateReady(*found.shape);
    eraseIfEmpty(*found.shape);
    return removed;
}

std::optional<WaitReason> WaitQueue::waitReason(const TaskId &id) const
{
    const auto location = locations_.find(id);
    if (location == locations_.end())
        return std::nullopt;
    if (location->second.shape == nullptr)
        return WaitReason::Quota;
    return location->second.shape->blocked ? WaitReason::Capacity : WaitReason::Queued;
}

WaitQueue::Shape *WaitQueue::first() const
{
    return ready_.empty() ? nullptr : ready_.begin()->second;
}

void WaitQueue::updateReady(Shape &shape)
{
    const auto listed = ready_.find(shape.readyKey);
    if (listed != ready_.end() && listed->second == &shape)
        ready_.erase(listed);
    if (shape.blocked || shape.units.empty())
        return;
    shape.readyKey = shape.units.begin()->first;
    ready_.emplace(shape.readyKey, &shape);
}

void WaitQueue::eraseIfEmpty(Shape &shape)
{
    if (shape.units.empty())
        shapes_.erase(shapes_.find(shape.key));
}

void WaitQueue::block(Shape &shape)
{
    shape.blocked = true;
    updateReady(shape);
}

void WaitQueue::unblockFitting(const std::vector<WorkerSlot> &slots, const WorkerIndex &workers)
{
    for (auto &entry : shapes_) {
        const ShapeKey &key = entry.first;
        Shape *shape = entry.second.get();
        // A gang needs resources on several workers; Planner retries it at an interval instead.
        if (!shape->blocked || key.kind == WorkKind::Gang)
            continue;
        const auto mayDisplaceOthers = displacementDelay(*shape->units.begin()->second.work);
        const bool fits = std::any_of(slots.begin(), slots.end(), [&](WorkerSlot slot) {
            const WorkerEntry &worker = workers.at(slot);
            if (!worker.accepting)
                return false;
            Resources available = worker.free();
            if (mayDisplaceOthers)
                available += worker.displaceableResources[key.standing == Standing::Normal ? 0 : 1];
            return shape->resources.fitsIn(available);
        });
        if (fits) {
            shape->blocked = false;
            updateReady(*shape);
        }
    }
}

void WaitQueue::unblock(const ShapeKey &key)
{
    const auto found = shapes_.find(key);
    if (found == shapes_.end() || !found->second->blocked)
        return;
    found->second->blocked = false;
    updateReady(*found->second);
}

void WaitQueue::unblockShapeOf(const TaskId &id)
{
    const auto location = locations_.find(id);
    if (location != locations_.end() && location->second.shape != nullptr)
        unblock(location->second.shape->key);
}

void WaitQueue::blockForQuota(Shape &shape)
{
    const auto head = shape.units.begin();
    const Priority priority = head->first;
    Unit unit = std::move(head->second);
    shape.units.erase(head);
    updateReady(shape);
    eraseIfEmpty(shape);
    const TeamId team = unit.work->team;
    locations_[unit.id()] = {nullptr, team, priority};
    quotaBlocked_[team].emplace(priority, std::move(unit));
}

void WaitQueue::unblockTeam(const TeamId &team, const QuotaLedger &quotas)
{
    const auto found = quotaBlocked_.find(team);
    if (found == quotaBlocked_.end())
        return;
    // Only the first units that together stay within the quota return. Skipping one that does not would let small units
    // starve a large one.
    Resources resourceSum;
    auto &units = found->second;
    while (!units.empty()) {
        const auto unit = units.begin();
        resourceSum += unit->second.total();
        if (!quotas.allows(team, resourceSum))
            break;
        const Priority priority = unit->first;
        Unit returned = std::move(unit->second);
        units.erase(unit);
        insert(priority, std::move(returned));
    }
    if (units.empty())
        quotaBlocked_.erase(found);
}

void WaitQueue::quotasChanged(const QuotaLedger &quotas)
{
    std::vector<TeamId> teams;
    for (const auto &[team, units] : quotaBlocked_)
        teams.push_back(team);
    std::sort(teams.begin(), teams.end());
    for (const TeamId &team : teams)
        unblockTeam(team, quotas);
}

std::vector<const WaitQueue::Shape *> WaitQueue::blockedShapes() const
{
    std::vector<const Shape *> blocked;
    for (const auto &[key, shape] : shapes_) {
        if (shape->blocked)
            blocked.push_back(shape.get());
    }
    return blocked;
}

} // namespace Pistachio::Placement
