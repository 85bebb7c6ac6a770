#pragma once

#include "placement/levelgrid.h"
#include "placement/work.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Pistachio::Placement
{

/// Index of a worker in WorkerIndex; used again after the worker is removed.
using WorkerSlot = std::uint32_t;

/// A task that has resources of a worker allocated; its assignment may not be committed yet.
struct PlacedTask {
    TaskId task;
    Resources resources;
    WorkKind kind = WorkKind::Batch;
    Standing standing = Standing::Normal;
    bool displaceable = false;
    bool stopping = false;
    TimePoint startedAt{};
    Duration estimatedRun{};

    /// \return when it is expected to end; a task that exceeds its estimate is expected to run as long again.
    [[nodiscard]] TimePoint estimatedEnd(TimePoint now) const;
};

/// The state of a worker that placement needs.
struct WorkerEntry {
    WorkerId id;
    std::string rack;
    std::uint32_t rackNumber = 0;
    Resources capacity;
    Resources allocated;
    Resources held; ///< held for units that wait for displaced tasks to stop
    Resources pinned; ///< allocated to services, which do not end by themselves
    std::array<Resources, 2> displaceableResources; ///< 0: of spare work; 1: of spare and normal work
    std::optional<AcceleratorClass> reservedFor;
    bool known = false; ///< the slot is in use and the capacity was reported
    bool accepting = false; ///< new work may be placed
    bool singleTask = false; ///< accepts one task and no gang
    double memoryPressure = 0; ///< used memory above the declared memory, as a share of the capacity
    std::vector<PlacedTask> tasks;

    [[nodiscard]] Resources free() const { return capacity - allocated - held; }
    /// \return what is free for work without accelerators. The accelerator share is left out: the part of the cores and
    /// memory that is kept for free accelerators, in proportion to their number.
    [[nodiscard]] Resources freeBeyondAcceleratorShare() const;
};

/// The workers, indexed by available resources. The cost of a search hardly depends on the number of workers.
class WorkerIndex
{
public:
    /// \return the slot of a worker, which is created when needed.
    WorkerSlot slotOf(const WorkerId &worker);
    [[nodiscard]] std::optional<WorkerSlot> find(const WorkerId &worker) const;
    void setRack(WorkerSlot slot, const std::string &rack);
    void setCapacity(WorkerSlot slot, const Resources &capacity);
    /// \param singleTask stop accepting after one task; used for the probe of a quarantined worker
    void setAccepting(WorkerSlot slot, bool accepting, bool singleTask = false);
    void setMemoryPressure(WorkerSlot slot, double memoryPressure) { entries_[slot].memoryPressure = memoryPressure; }
    void setReserved(WorkerSlot slot, std::optional<AcceleratorClass> reservedFor);
    /// Removes a worker that has no tasks and no held resources. Its slot is used again.
    void remove(WorkerSlot slot);

    void place(WorkerSlot slot, PlacedTask task);
    /// \return whether the task was placed there.
    bool release(WorkerSlot slot, const TaskId &task);
    /// Marks a task that was told to stop, so that it can't be displaced again.
    void setStopping(WorkerSlot slot, const TaskId &task);
    void holdResources(WorkerSlot slot, const Resources &resources);
    void releaseHeld(WorkerSlot slot, const Resources &resources);

    [[nodiscard]] const WorkerEntry &at(WorkerSlot slot) const { return entries_[slot]; }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /// \param booking a service
    /// \return pairs of a rack number and the number of the service's tasks there.
    [[nodiscard]] const std::vector<std::pair<std::uint32_t, std::uint32_t>> &racksOf(const BookingId &booking) const;

    /// Visits workers that accept work and have \p need free.
    template<class Visit> void visitFree(const Resources &need, LevelGrid::SearchOrder order, Visit visit) const
    {
        free_.visit(need, order, visit);
    }
    /// Visits workers that accept work and have \p need free beyond their accelerator share.
    template<class Visit>
    void visitFreeBeyondAcceleratorShare(const Resources &need, LevelGrid::SearchOrder order, Visit visit) const
    {
        freeBeyondAcceleratorShare_.visit(need, order, visit);
    }
    /// Visits workers that accept work and would have \p need free without the tasks that \p standing may displace.
    template<class Visit> void visitDisplaceable(const Resources &need, Standing standing, Visit visit) const
    {
        freeOrDisplaceable_[standing == Standing::Normal ? 0 : 1].visit(need, LevelGrid::SearchOrder::BestFit, visit);
    }
    /// Visits workers that accept work and would have \p need free if they ran only their services.
    template<class Visit> void visitWithoutBatch(const Resources &need, Visit visit) const
    {
        freeWithoutBatch_.visit(need, LevelGrid::SearchOrder::WorstFit, visit);
    }
    /// Visits workers whose capacity is at least \p need.
    template<class Visit> void visitCapacity(const Resources &need, Visit visit) const
    {
        capacity_.visit(need, LevelGrid::SearchOrder::WorstFit, visit);
    }

    /// \return the workers on which more resources became available since the last call, free or displaceable.
    std::vector<WorkerSlot> takeFreedWorkers();
    void markFreed(WorkerSlot slot);
    [[nodiscard]] bool hasFreedWorkers() const { return !freedWorkers_.empty(); }

private:
    void updateGrids(WorkerSlot slot, bool freed);
    void countServiceTask(const PlacedTask &task, std::uint32_t rack, bool added);

    std::vector<WorkerEntry> entries_;
    std::vector<bool> isFreed_;
    std::vector<WorkerSlot> freedWorkers_;
    std::unordered_map<WorkerId, WorkerSlot> slots_;
    std::vector<WorkerSlot> freeSlots_;
    std::unordered_map<std::string, std::uint32_t> rackNumbers_;
    std::unordered_map<BookingId, std::vector<std::pair<std::uint32_t, std::uint32_t>>> serviceRacks_;
    LevelGrid free_;
    LevelGrid freeBeyondAcceleratorShare_;
    std::array<LevelGrid, 2> freeOrDisplaceable_;
    LevelGrid freeWithoutBatch_;
    LevelGrid capacity_;
};

} // namespace Pistachio::Placement
