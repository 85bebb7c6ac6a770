#include "placement/workerindex.h"

#include <algorithm>

namespace Pistachio::Placement
{

TimePoint PlacedTask::estimatedEnd(TimePoint now) const
{
    const TimePoint end = startedAt + estimatedRun;
    return end > now ? end : now + std::max<Duration>(now - startedAt, 1s);
}

Resources WorkerEntry::freeBeyondAcceleratorShare() const
{
    Resources rest = free();
    const std::int64_t idle = std::max<std::int64_t>(rest.accelerators, 0);
    const std::int64_t total = capacity.accelerators;
    if (idle == 0 || total == 0)
        return rest;
    rest.milliCores -= (capacity.milliCores * idle + total - 1) / total;
    rest.memoryBytes -= (capacity.memoryBytes * idle + total - 1) / total;
    return rest;
}

WorkerSlot WorkerIndex::slotOf(const WorkerId &worker)
{
    const auto found = slots_.find(worker);
    if (found != slots_.end())
        return found->second;
    if (freeSlots_.empty()) {
        freeSlots_.push_back(static_cast<WorkerSlot>(entries_.size()));
        entries_.emplace_back();
        isFreed_.push_back(false);
    }
    const WorkerSlot slot = freeSlots_.back();
    freeSlots_.pop_back();
    entries_[slot] = WorkerEntry();
    entries_[slot].id = worker;
    slots_.emplace(worker, slot);
    return slot;
}

std::optional<WorkerSlot> WorkerIndex::find(const WorkerId &worker) const
{
    const auto found = slots_.find(worker);
    return found == slots_.end() ? std::nullopt : std::optional(found->second);
}

void WorkerIndex::setRack(WorkerSlot slot, const std::string &rack)
{
    WorkerEntry &entry = entries_[slot];
    if (entry.rack == rack && entry.rackNumber != 0)
        return;
    for (const PlacedTask &task : entry.tasks)
        countServiceTask(task, entry.rackNumber, false);
    entry.rack = rack;
    // Number 0 is for workers whose rack is not known yet.
    entry.rackNumber
        = rackNumbers_.try_emplace(rack, static_cast<std::uint32_t>(rackNumbers_.size() + 1)).first->second;
    for (const PlacedTask &task : entry.tasks)
        countServiceTask(task, entry.rackNumber, true);
}

void WorkerIndex::setCapacity(WorkerSlot slot, const Resources &capacity)
{
    WorkerEntry &entry = entries_[slot];
    if (entry.known && entry.capacity == capacity)
        return;
    entry.known = true;
    entry.capacity = capacity;
    updateGrids(slot, true);
}

void WorkerIndex::setAccepting(WorkerSlot slot, bool accepting, bool singleTask)
{
    entries_[slot].singleTask = singleTask;
    if (entries_[slot].accepting == accepting)
        return;
    entries_[slot].accepting = accepting;
    updateGrids(slot, accepting);
}

void WorkerIndex::setReserved(WorkerSlot slot, std::optional<AcceleratorClass> reservedFor)
{
    entries_[slot].reservedFor = reservedFor;
    if (!reservedFor)
        updateGrids(slot, true);
}

void WorkerIndex::remove(WorkerSlot slot)
{
    WorkerEntry &entry = entries_[slot];
    entry.known = false;
    entry.accepting = false;
    entry.capacity = {};
    updateGrids(slot, false);
    slots_.erase(entry.id);
    freeSlots_.push_back(slot);
}

void WorkerIndex::place(WorkerSlot slot, PlacedTask task)
{
    WorkerEntry &entry = entries_[slot];
    entry.allocated += task.resources;
    if (task.kind == WorkKind::Service)
        entry.pinned += task.resources;
    if (task.displaceable) {
        if (task.standing == Standing::Spare)
            entry.displaceableResources[0] += task.resources;
        entry.displaceableResources[1] += task.resources;
    }
    countServiceTask(task, entry.rackNumber, true);
    // Work without accelerators may use the share of accelerators that are in use now.
    const bool freed = task.displaceable || task.resources.accelerators > 0;
    entry.tasks.push_back(std::move(task));
    if (std::exchange(entry.singleTask, false))
        entry.accepting = false;
    updateGrids(slot, freed);
}

bool WorkerIndex::release(WorkerSlot slot, const TaskId &task)
{
    WorkerEntry &entry = entries_[slot];
    const auto found = std::find_if(entry.tasks.begin(), entry.tasks.end(),
                                    [&](const PlacedTask &placed) { return placed.task == task; });
    if (found == entry.tasks.end())
        return false;
    setStopping(slot, task);
    entry.allocated -= found->resources;
    if (found->kind == WorkKind::Service)
        entry.pinned -= found->resources;
    countServiceTask(*found, entry.rackNumber, false);
    entry.tasks.erase(found);
    updateGrids(slot, true);
    return true;
}

void WorkerIndex::setStopping(WorkerSlot slot, const TaskId &task)
{
    WorkerEntry &entry = entries_[slot];
    for (PlacedTask &placed : entry.tasks) {
        if (placed.task != task)
            continue;
        placed.stopping = true;
        if (std::exchange(placed.displaceable, false)) {
            if (placed.standing == Standing::Spare)
                entry.displaceableResources[0] -= placed.resources;
            entry.displaceableResources[1] -= placed.resources;
            updateGrids(slot, false);
        }
        return;
    }
}

void WorkerIndex::holdResources(WorkerSlot slot, const Resources &resources)
{
    entries_[slot].held += resources;
    updateGrids(slot, false);
}

void WorkerIndex::releaseHeld(WorkerSlot slot, const Resources &resources)
{
    entries_[slot].held -= resources;
    updateGrids(slot, true);
}

const std::vector<std::pair<std::uint32_t, std::uint32_t>> &WorkerIndex::racksOf(const BookingId &booking) const
{
    static const std::vector<std::pair<std::uint32_t, std::uint32_t>> none;
    const auto found = serviceRacks_.find(booking);
    return found == serviceRacks_.end() ? none : found->second;
}

std::vector<WorkerSlot> WorkerIndex::takeFreedWorkers()
{
    for (const WorkerSlot slot : freedWorkers_)
        isFreed_[slot] = false;
    return std::exchange(freedWorkers_, {});
}

void WorkerIndex::updateGrids(WorkerSlot slot, bool freed)
{
    const WorkerEntry &entry = entries_[slot];
    if (entry.known)
        capacity_.set(slot, entry.capacity);
    else
        capacity_.remove(slot);
    if (!entry.accepting) {
        free_.remove(slot);
        freeBeyondAcceleratorShare_.remove(slot);
        freeWithoutBatch_.remove(slot);
        for (LevelGrid &grid : freeOrDisplaceable_)
            grid.remove(slot);
        return;
    }
    const Resources free = entry.free();
    free_.set(slot, free);
    freeBeyondAcceleratorShare_.set(slot, entry.freeBeyondAcceleratorShare());
    freeWithoutBatch_.set(slot, entry.capacity - entry.pinned);
    for (std::size_t i = 0; i < freeOrDisplaceable_.size(); ++i)
        freeOrDisplaceable_[i].set(slot, free + entry.displaceableResources[i]);
    if (freed)
        markFreed(slot);
}

void WorkerIndex::markFreed(WorkerSlot slot)
{
    if (isFreed_[slot])
        return;
    isFreed_[slot] = true;
    freedWorkers_.push_back(slot);
}

void WorkerIndex::countServiceTask(const PlacedTask &task, std::uint32_t rack, bool added)
{
    if (task.kind != WorkKind::Service)
        return;
    auto &racks = serviceRacks_[task.task.booking];
    auto found = std::find_if(racks.begin(), racks.end(), [&](const auto &entry) { return entry.first == rack; });
    if (added) {
        if (found == racks.end())
            racks.emplace_back(rack, 1);
        else
            ++found->second;
        return;
    }
    if (found != racks.end() && --found->second == 0)
        racks.erase(found);
    if (racks.empty())
        serviceRacks_.erase(task.task.booking);
}

} // namespace Pistachio::Placement
