#pragma once

#include "placement/displacement.h"
#include "placement/placementpolicy.h"
#include "placement/quotaledger.h"
#include "placement/reservations.h"
#include "placement/waitqueue.h"
#include "placement/workerindex.h"

#include <functional>
#include <map>
#include <string>

namespace Pistachio::Placement
{

/// One decision of Planner::plan().
struct PlannedStep {
    enum class Kind : std::uint8_t {
        Assign, ///< all tasks of the unit are placed on \p workers
        Displace, ///< \p victim on the only entry of \p workers has to stop so that the unit fits
        Reserve, ///< \p workers are reserved for the unit
    };
    Kind kind = Kind::Assign;
    Unit unit;
    std::vector<WorkerSlot> workers;
    TaskId victim;
    std::string_view policy;
    double score = 0;
    std::uint32_t candidates = 0;
};

/// Decides which waiting work runs on which workers, with regard to quotas, reservations and displacement. Resources of
/// assigned tasks count as allocated at once.
class Planner
{
public:
    /// \param displacements returns how often a task was displaced before
    explicit Planner(std::function<std::uint32_t(const TaskId &)> displacements);

    void setPackingPercent(unsigned percent) { packingPercent_ = percent; }
    [[nodiscard]] unsigned packingPercent() const { return packingPercent_; }
    void setQuotas(std::unordered_map<TeamId, Resources> limits);

    WorkerIndex &workers() { return workers_; }
    [[nodiscard]] const WorkerIndex &workers() const { return workers_; }
    [[nodiscard]] const QuotaLedger &quotas() const { return quotas_; }
    [[nodiscard]] const Reservations &reservations() const { return reservations_; }

    /// Adds a unit to the wait queue.
    void enqueue(Unit unit);
    /// Removes a unit that waits, also one that waits for displaced tasks to stop.
    /// \return whether there was one.
    bool withdraw(const TaskId &id);
    /// \return the reason why the unit waits, for operators, or nothing when it does not wait.
    [[nodiscard]] std::optional<std::string> waitingFor(const TaskId &id) const;
    [[nodiscard]] std::size_t waiting() const { return queue_.size() + heldUnits_.size(); }

    /// Adds a task that is assigned already to its worker and charges it to the quota of its team.
    void adopt(WorkerSlot slot, const Work &work, const TaskId &task, std::uint32_t displacements, TimePoint startedAt);
    /// Removes a task from its worker and refunds the quota of its team.
    void release(WorkerSlot slot, const Work &work, const TaskId &task);
    /// Puts units that wait for displaced tasks to stop on this worker back into the queue; to be called when the
    /// worker no longer accepts work.
    void workerUnavailable(WorkerSlot slot);

    /// Places as much waiting work as possible.
    /// \param limit no further unit is placed once there are this many steps
    std::vector<PlannedStep> plan(TimePoint now, std::size_t limit);

    /// \param work the work
    /// \param count number of tasks that have to run at the same time
    /// \return the reason why the known workers could not run the work even without other tasks, or an empty text when
    /// they could.
    [[nodiscard]] std::string unschedulableReason(const Work &work, std::size_t count) const;

    /// \return how often a unit was tried so far, whether it fit or not.
    [[nodiscard]] std::uint64_t attempts() const { return attempts_; }

private:
    /// A unit whose resources are held on a worker until the displaced tasks have stopped.
    struct HeldUnit {
        Unit unit;
        WorkerSlot worker = 0;
        TimePoint deadline{};
    };

    void handleFreedWorkers(TimePoint now, std::vector<PlannedStep> &steps);
    void placeReadyUnits(TimePoint now, std::size_t limit, std::vector<PlannedStep> &steps);
    bool tryPlace(TimePoint now, const Unit &unit, const Priority &priority, std::vector<PlannedStep> &steps);
    bool tryDisplace(TimePoint now, const Unit &unit, const Priority &priority, std::vector<PlannedStep> &steps);
    void displaceForGang(TimePoint now, const Unit &unit, std::vector<PlannedStep> &steps);
    void assignHeldUnits(TimePoint now, std::vector<PlannedStep> &steps);
    void processTimeouts(TimePoint now);
    void unblockReservationHolders(const std::vector<WorkerSlot> &freed);
    void blockShape(TimePoint now, WaitQueue::Shape &shape);
    void reserveForLargeUnits(TimePoint now, std::vector<PlannedStep> &steps);
    void allocate(TimePoint now, const Unit &unit, const std::vector<WorkerSlot> &workers);
    [[nodiscard]] bool isLarge(const Unit &unit) const;
    [[nodiscard]] const PlacementPolicy &policyFor(WorkKind kind) const;

    std::function<std::uint32_t(const TaskId &)> displacementCount_;
    WorkerIndex workers_;
    WaitQueue queue_;
    QuotaLedger quotas_;
    Reservations reservations_;
    std::array<std::unique_ptr<PlacementPolicy>, 3> policies_;
    std::map<TaskId, HeldUnit> heldUnits_;
    std::set<std::pair<TimePoint, WaitQueue::ShapeKey>> retryTimes_;
    unsigned packingPercent_ = 50;
    bool reservationsDue_ = false;
    TimePoint nextReservationAttempt_{};
    std::uint64_t attempts_ = 0;
};

} // namespace Pistachio::Placement
