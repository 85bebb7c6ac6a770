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

/// The implementation of ZoneScheduler, in one file for each group of functions.
class ZoneScheduler::Private
{
public:
    using Slot = Placement::WorkerSlot;

    /// What the leader keeps of a worker besides its lease and its resources.
    struct Worker {
        std::set<TaskId> tasks; // committed assignments
        std::vector<Wire::EndRecorded> recorded; // acknowledgements to send
        std::vector<Wire::StopTask> fenced; // tasks it reports and must not run
        bool sendFull = false;
        bool leaving = false;
    };

    Private(std::string zone, const ZoneState::ZoneState &state, std::uint64_t seed);

    // zonescheduler.cpp
    void becomeLeader(const Moment &now, std::uint64_t term);
    void loseLeadership();
    void rebuild(const Moment &now);
    void adoptAssignments(const Moment &now);
    void flush(const Moment &now);
    bool decides(const Moment &now) const { return leader_ && now.hasLeaderLease; }
    [[nodiscard]] std::vector<WorkerView> workerViews() const;

    // bookings.cpp
    void setBookings(const Moment &now, std::span<const Wire::Booking> bookings,
                     const Wire::Configuration &configuration);
    void reconcile(const Moment &now, BookingEntry &booking);
    void runWallTimers(const Moment &now);
    void runDelays(const Moment &now);
    void enqueue(const Moment &now, BookingEntry &booking, std::uint32_t index);
    void enqueueGang(const Moment &now, BookingEntry &booking);
    void withdraw(BookingEntry &booking, std::uint32_t index);
    void endBooking(const Moment &now, BookingEntry &booking);
    void dropIfDone(const BookingId &booking);
    BookingEntry *find(const BookingId &booking);
    TaskEntry *find(const TaskId &task);
    std::shared_ptr<const Placement::Work> workOf(const BookingSpec &spec) const;

    // planning.cpp
    void plan(const Moment &now);
    void carryOut(const Moment &now, Placement::PlannedStep &step);
    void assign(const Moment &now, Placement::PlannedStep &step);
    void assignmentApplied(const Moment &now, const Wire::AssignTasks &command, bool accepted);
    void unplace(const Moment &now, BookingEntry &booking, std::uint32_t index, Duration delay);
    void startGangIfPrepared(const Moment &now, BookingEntry &booking);
    void startApplied(const Moment &now, const std::string &booking, bool accepted);
    void retryStarts(const Moment &now);
    void forgetOldHistory(const Moment &now);
    void decide(std::string action, const TaskId &task, const TaskEntry *entry, std::string reason);

    // workersyncs.cpp
    void workerSync(const Moment &now, const Wire::WorkerSync &sync);
    void acceptReport(const Moment &now, Slot slot, const Wire::WorkerSync &sync);
    void taskReported(const Moment &now, Slot slot, const Wire::TaskStatus &status, bool full);
    void liveTaskReported(const Moment &now, const TaskId &id, TaskEntry &entry, const Wire::TaskStatus &status,
                          bool full);
    void usageReported(const Moment &now, const TaskId &id, TaskEntry &entry, const Resources &usage);
    void checkMemory(const Moment &now);
    void missingFromReport(const Moment &now, Slot slot, const std::set<TaskId> &reported);
    void updatePressure(Slot slot);
    void shedExcess(const Moment &now, Slot slot);
    void updateAccepting(const Moment &now, Slot slot);
    void moveTasksAway(const Moment &now, Slot slot);
    void checkHealth(const Moment &now);

    // answers.cpp
    void answerDue(const Moment &now);
    void answer(const Moment &now, Slot slot);
    [[nodiscard]] bool needsOrder(const TaskId &id, const TaskEntry &entry) const;
    void addTaskOrders(const TaskId &id, TaskEntry &entry, Wire::WorkerOrders &orders);
    void loseExpired(const Moment &now);
    void removeIfGone(Slot slot);

    // ends.cpp
    void stop(const Moment &now, const TaskId &id, TaskEntry &entry, StopCause cause, Duration grace);
    void checkStopDeadlines(const Moment &now);
    void proposeEnd(const Moment &now, const TaskId &id, TaskEntry &entry, Wire::TaskEndReason reason,
                    std::string detail);
    void flushEnds(const Moment &now);
    void endsApplied(const Moment &now, const Wire::EndTasks &command);
    void endApplied(const Moment &now, const Wire::TaskEnd &end, TaskEntry &entry);
    void endedTaskNext(const Moment &now, BookingEntry &booking, std::uint32_t index);
    void failed(const Moment &now, BookingEntry &booking, std::uint32_t index);
    void gangMemberEnded(const Moment &now, BookingEntry &booking);
    void judgeWorker(const Moment &now, const TaskId &id, const TaskEntry &entry, Wire::TaskEndReason reason);

    // explanation.cpp
    [[nodiscard]] Explanation explain(const BookingId &id) const;
    void explainHistory(const BookingId &id, std::uint32_t tasks, Explanation &answer) const;

    Worker &worker(Slot slot);
    Wire::ZoneCommand &propose(const Moment &now);

    const std::string zone_;
    const ZoneState::ZoneState &state_;
    bool leader_ = false;
    std::uint64_t term_ = 0;
    TimePoint planFrom_{}; // after the first workers have reported to a new leader
    std::int64_t lastUnixMs_ = 0;
    std::uint64_t lastIncarnation_ = 0;
    TimePoint forgetDue_{};

    std::vector<BookingSpec> specs_; // the last snapshot of the cell state, for this zone
    std::unordered_map<TeamId, Resources> quotas_;
    unsigned packingPercent_ = 50;

    std::unordered_map<BookingId, BookingEntry> bookings_;
    std::set<std::pair<std::int64_t, BookingId>> wallTimers_;
    std::set<std::pair<TimePoint, TaskId>> delays_;
    std::set<std::pair<TimePoint, BookingId>> startRetries_;
    std::set<std::pair<TimePoint, TaskId>> stopDeadlines_;
    std::set<std::pair<TimePoint, TaskId>> memoryDeadlines_;
    std::vector<Worker> workers_;
    std::set<Slot> unhealthy_;
    LeaseTable leases_;
    std::unique_ptr<Placement::Planner> planner_;
    Placement::WorkerHealth health_;
    Placement::RunEstimates estimates_;
    std::vector<Wire::TaskEnd> ends_; // proposed together in flush()
    Commands commands_;
};

} // namespace Pistachio::Scheduler
