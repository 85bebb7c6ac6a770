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

/// One result of Planner::plan().
struct PlannedStep {
    enum class Kind : std::uint8_t {
        Assign, ///< all tasks of the unit are placed on \p workers
        Displace, ///< \p victim on the one worker has to stop for the unit, whose room is held
        Reserve, ///< the workers are kept for the unit
    };
    Kind kind = Kind::Assign;
    Unit unit;
    std::vector<WorkerSlot> workers;
    TaskId victim;
    std::string_view policy;
    double score = 0;
    std::uint32_t candidates = 0;
};

/// Decides what runs where: joins the waiting work, the workers, the quotas, the reservations and displacement. What it
/// assigns counts as allocated at once.
class Planner
{
public:
    /// \param displacements how often a task was displaced before
    explicit Planner(std::function<std::uint32_t(const TaskId &)> displacements);

    void setPackingPercent(unsigned percent) { packingPercent_ = percent; }
    [[nodiscard]] unsigned packingPercent() const { return packingPercent_; }
    void setQuotas(std::unordered_map<TeamId, Resources> limits);

    WorkerIndex &workers() { return workers_; }
    [[nodiscard]] const WorkerIndex &workers() const { return workers_; }
    [[nodiscard]] const QuotaLedger &quotas() const { return quotas_; }
    [[nodiscard]] const Reservations &reservations() const { return reservations_; }

    /// Adds a unit to the waiting work.
    void enqueue(Unit unit);
    /// Removes a unit that waits or whose room is being made.
    /// \return whether there was one.
    bool withdraw(const TaskId &id);
    /// \return why the unit waits, as text, or nothing when it does not wait.
    [[nodiscard]] std::optional<std::string> waitingFor(const TaskId &id) const;
    [[nodiscard]] std::size_t waiting() const { return queue_.size() + heldUnits_.size(); }

    /// Takes over a task that is assigned already.
    void adopt(WorkerSlot slot, const Work &work, const TaskId &task, std::uint32_t displacements, TimePoint startedAt);
    /// Frees what a task had.
    void release(WorkerSlot slot, const Work &work, const TaskId &task);
    /// Returns the units for which room was being made on a worker that takes no work any longer.
    void workerUnavailable(WorkerSlot slot);

    /// Places waiting work as far as possible.
    /// \param limit the most units to place
    std::vector<PlannedStep> plan(TimePoint now, std::size_t limit);

    /// \param work the work
    /// \param count the tasks that have to run at the same time
    /// \return the reason why no known worker, or no set of them, could hold it even when empty; empty when one could.
    [[nodiscard]] std::string unschedulableReason(const Work &work, std::size_t count) const;

    /// \return the units placed so far and those that were tried and did not fit.
    [[nodiscard]] std::uint64_t attempts() const { return attempts_; }

private:
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
