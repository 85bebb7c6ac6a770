#pragma once

#include "placement/planner.h"
#include "placement/runestimates.h"
#include "placement/workerhealth.h"
#include "scheduler/bookingtable.h"
#include "scheduler/commands.h"
#include "scheduler/leasetable.h"
#include "scheduler/zonescheduler.h"

#include <map>
#include <set>
#include <unordered_map>

namespace Pistachio::ZoneState
{
enum class EndReason : std::uint8_t;
}

namespace Pistachio::Scheduler
{

/// The implementation of ZoneScheduler. Each group of functions has its own source file.
class ZoneScheduler::Private
{
public:
    using Slot = Placement::WorkerSlot;

    /// The leader's state of a worker, apart from its lease and its resources.
    struct Worker {
        std::set<TaskId> tasks; // with a committed assignment
        std::vector<Wire::EndRecorded> endAcknowledgements; // to send
        std::vector<Wire::StopTask> stopOrders; // to send, for tasks that it reports without an assignment
        bool sendFull = false;
        bool leaving = false;
    };

    Private(std::string zone, const ZoneState::ZoneState &state, std::uint64_t seed);

    // zonescheduler.cpp
    void becomeLeader(const EventContext &now, std::uint64_t term);
    void loseLeadership();
    void rebuild(const EventContext &now);
    void adoptAssignments(const EventContext &now);
    void flush(const EventContext &now);
    bool mayDecide(const EventContext &now) const { return leader_ && now.hasLeaderLease; }
    [[nodiscard]] std::vector<WorkerView> workerViews() const;

    // bookings.cpp
    void setBookings(const EventContext &now, std::span<const Wire::Booking> bookings,
                     const Wire::Configuration &configuration);
    void reconcile(const EventContext &now, BookingEntry &booking);
    void runWallClockTimers(const EventContext &now);
    void requeueDelayedTasks(const EventContext &now);
    void enqueue(const EventContext &now, BookingEntry &booking, std::uint32_t index);
    void enqueueGang(const EventContext &now, BookingEntry &booking);
    void withdraw(BookingEntry &booking, std::uint32_t index);
    void endBooking(const EventContext &now, BookingEntry &booking);
    void removeEndedBooking(const BookingId &booking);
    BookingEntry *find(const BookingId &booking);
    TaskEntry *find(const TaskId &task);
    std::shared_ptr<const Placement::Work> workOf(const BookingSpec &spec) const;

    // planning.cpp
    void plan(const EventContext &now);
    void execute(const EventContext &now, Placement::PlannedStep &step);
    void assign(const EventContext &now, Placement::PlannedStep &step);
    void assignmentApplied(const EventContext &now, const Wire::AssignTasks &command, bool accepted);
    void revertAssignment(const EventContext &now, BookingEntry &booking, std::uint32_t index, Duration delay);
    void startGangIfPrepared(const EventContext &now, BookingEntry &booking);
    void startApplied(const EventContext &now, const std::string &booking, bool accepted);
    void retryGangStarts(const EventContext &now);
    void removeOldHistory(const EventContext &now);
    void recordDecision(std::string action, const TaskId &task, const TaskEntry *entry, std::string reason);

    // workersyncs.cpp
    void workerSync(const EventContext &now, const Wire::WorkerSync &sync);
    void handleReport(const EventContext &now, Slot slot, const Wire::WorkerSync &sync);
    void taskReported(const EventContext &now, Slot slot, const Wire::TaskStatus &status, bool full);
    void liveTaskReported(const EventContext &now, const TaskId &id, TaskEntry &entry, const Wire::TaskStatus &status,
                          bool full);
    void usageReported(const EventContext &now, const TaskId &id, TaskEntry &entry, const Resources &usage);
    void stopTasksAboveMemory(const EventContext &now);
    void handleMissingTasks(const EventContext &now, Slot slot, const std::set<TaskId> &reported);
    void updateMemoryPressure(Slot slot);
    void stopTasksAboveCapacity(const EventContext &now, Slot slot);
    void updateAccepting(const EventContext &now, Slot slot);
    void moveTasksAway(const EventContext &now, Slot slot);
    void checkUnhealthyWorkers(const EventContext &now);

    // answers.cpp
    void answerDueSyncs(const EventContext &now);
    void answerSync(const EventContext &now, Slot slot);
    [[nodiscard]] bool needsOrder(const TaskId &id, const TaskEntry &entry) const;
    void addTaskOrders(const TaskId &id, TaskEntry &entry, Wire::WorkerOrders &orders);
    void endTasksOfExpiredLeases(const EventContext &now);
    void removeUnusedWorker(Slot slot);

    // ends.cpp
    void stop(const EventContext &now, const TaskId &id, TaskEntry &entry, StopCause cause, Duration grace);
    void checkStopDeadlines(const EventContext &now);
    void proposeEnd(const EventContext &now, const TaskId &id, TaskEntry &entry, Wire::TaskEndReason reason,
                    std::string detail);
    void flushEnds(const EventContext &now);
    void endsApplied(const EventContext &now, const Wire::EndTasks &command);
    void endApplied(const EventContext &now, const Wire::TaskEnd &end, TaskEntry &entry);
    /// \param ran how long the ended run lasted
    void rescheduleEndedTask(const EventContext &now, BookingEntry &booking, std::uint32_t index, Duration ran);
    void taskFailed(const EventContext &now, BookingEntry &booking, std::uint32_t index);
    void gangMemberEnded(const EventContext &now, BookingEntry &booking);
    void updateWorkerHealth(const EventContext &now, const TaskId &id, const TaskEntry &entry,
                            Wire::TaskEndReason reason);

    // explanation.cpp
    [[nodiscard]] Explanation explain(const BookingId &id) const;
    void explainHistory(const BookingId &id, std::uint32_t tasks, Explanation &explanation) const;

    Worker &worker(Slot slot);
    Wire::ZoneCommand &propose(const EventContext &now);

    const std::string zone_;
    const ZoneState::ZoneState &state_;
    bool leader_ = false;
    std::uint64_t term_ = 0;
    TimePoint planningStart_{}; // gives the workers time to report to a new leader
    std::int64_t lastUnixMs_ = 0; // wall clock at the last event
    std::uint64_t lastIncarnation_ = 0;
    TimePoint historyRemovalDue_{};

    std::vector<BookingSpec> specs_; // of this zone, as last received from the cell
    std::unordered_map<TeamId, Resources> quotas_;
    unsigned packingPercent_ = 50;

    std::unordered_map<BookingId, BookingEntry> bookings_;
    std::set<std::pair<std::int64_t, BookingId>> wallClockTimers_;
    std::set<std::pair<TimePoint, TaskId>> delayedTasks_;
    std::set<std::pair<TimePoint, BookingId>> gangStartRetries_;
    std::set<std::pair<TimePoint, TaskId>> stopDeadlines_;
    std::set<std::pair<TimePoint, TaskId>> memoryDeadlines_;
    std::vector<Worker> workers_;
    std::set<Slot> unhealthy_;
    LeaseTable leases_;
    std::unique_ptr<Placement::Planner> planner_;
    Placement::WorkerHealth health_;
    Placement::RunEstimates estimates_;
    std::vector<Wire::TaskEnd> pendingEnds_; // flush() proposes them as one command
    Commands commands_;
};

} // namespace Pistachio::Scheduler
