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

using WorkerSlot = std::uint32_t;

/// A task that occupies a worker, committed or proposed.
struct PlacedTask {
    TaskId task;
    Resources resources;
    WorkKind kind = WorkKind::Batch;
    Standing standing = Standing::Normal;
    bool displaceable = false;
    bool stopping = false;
    TimePoint startedAt{};
    Duration estimatedRun{};

    /// \return when it is expected to end; a task that outlives its estimate is expected to run as long again.
    [[nodiscard]] TimePoint estimatedEnd(TimePoint now) const;
};

/// A worker as placement sees it.
struct WorkerEntry {
    WorkerId id;
    std::string rack;
    std::uint32_t rackNumber = 0;
    Resources capacity;
    Resources allocated;
    Resources held; ///< kept for work whose room is being made
    Resources pinned; ///< allocated to services, which do not end by themselves
    std::array<Resources, 2> displaceable; ///< of spare work; of spare and normal work
    std::optional<AcceleratorClass> reservedFor;
    bool known = false; ///< the slot is in use and the capacity was announced
    bool accepting = false; ///< new work may be placed
    bool singleTask = false; ///< accepts one task, no gang
    double memoryPressure = 0; ///< used memory above the declared memory, as a share of the capacity
    std::vector<PlacedTask> tasks;

    [[nodiscard]] Resources free() const { return capacity - allocated - held; }
    /// \return what is free for work without accelerators: the rest is kept for the accelerators that are free.
    [[nodiscard]] Resources freeBesideAccelerators() const;
};

/// The workers by what they have left. Every search costs little more with many workers than with few.
class WorkerIndex
{
public:
    /// \return the slot of a worker, made when needed.
    WorkerSlot slotOf(const WorkerId &worker);
    [[nodiscard]] std::optional<WorkerSlot> find(const WorkerId &worker) const;
    void setRack(WorkerSlot slot, const std::string &rack);
    void setCapacity(WorkerSlot slot, const Resources &capacity);
    /// \param singleTask stop accepting after one task; used for the probe of a quarantined worker
    void setAccepting(WorkerSlot slot, bool accepting, bool singleTask = false);
    void setMemoryPressure(WorkerSlot slot, double memoryPressure) { entries_[slot].memoryPressure = memoryPressure; }
    void setReserved(WorkerSlot slot, std::optional<AcceleratorClass> reservedFor);
    /// Forgets a worker that has no tasks and no held resources; its slot is used again.
    void remove(WorkerSlot slot);

    void place(WorkerSlot slot, PlacedTask task);
    /// \return whether the task was placed there.
    bool release(WorkerSlot slot, const TaskId &task);
    /// Marks a task that was told to stop; it can't be displaced once more.
    void setStopping(WorkerSlot slot, const TaskId &task);
    void holdResources(WorkerSlot slot, const Resources &resources);
    void releaseHeld(WorkerSlot slot, const Resources &resources);

    [[nodiscard]] const WorkerEntry &at(WorkerSlot slot) const { return entries_[slot]; }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /// \param booking a service
    /// \return the count of its tasks by rack.
    [[nodiscard]] const std::vector<std::pair<std::uint32_t, std::uint32_t>> &racksOf(const BookingId &booking) const;

    /// Visits workers that accept work and have \p need left.
    template<class Visit> void visitFree(const Resources &need, LevelGrid::SearchOrder order, Visit visit) const
    {
        free_.visit(need, order, visit);
    }
    /// Visits workers that accept work and have \p need left beside what is kept for their free accelerators.
    template<class Visit>
    void visitFreeBesideAccelerators(const Resources &need, LevelGrid::SearchOrder order, Visit visit) const
    {
        beside_.visit(need, order, visit);
    }
    /// Visits workers that accept work and would have \p need left without the tasks that \p standing may displace.
    template<class Visit> void visitDisplaceable(const Resources &need, Standing standing, Visit visit) const
    {
        displaceable_[standing == Standing::Normal ? 0 : 1].visit(need, LevelGrid::SearchOrder::BestFit, visit);
    }
    /// Visits workers that accept work and would have \p need left with nothing but their services.
    template<class Visit> void visitWithoutBatch(const Resources &need, Visit visit) const
    {
        unpinned_.visit(need, LevelGrid::SearchOrder::WorstFit, visit);
    }
    /// Visits workers whose whole capacity has \p need.
    template<class Visit> void visitCapacity(const Resources &need, Visit visit) const
    {
        capacity_.visit(need, LevelGrid::SearchOrder::WorstFit, visit);
    }

    /// \return the workers where more room appeared since the last call, free or displaceable.
    std::vector<WorkerSlot> takeGrown();
    void markGrown(WorkerSlot slot);
    [[nodiscard]] bool hasGrown() const { return !grown_.empty(); }

private:
    void refresh(WorkerSlot slot, bool grown);
    void countService(const PlacedTask &task, std::uint32_t rack, bool added);

    std::vector<WorkerEntry> entries_;
    std::vector<bool> isGrown_;
    std::vector<WorkerSlot> grown_;
    std::unordered_map<WorkerId, WorkerSlot> slots_;
    std::vector<WorkerSlot> freeSlots_;
    std::unordered_map<std::string, std::uint32_t> rackNumbers_;
    std::unordered_map<BookingId, std::vector<std::pair<std::uint32_t, std::uint32_t>>> serviceRacks_;
    LevelGrid free_;
    LevelGrid beside_;
    std::array<LevelGrid, 2> displaceable_;
    LevelGrid unpinned_;
    LevelGrid capacity_;
};

} // namespace Pistachio::Placement
