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
    void becomeLeader(const EventContext &now, std::uint64_t term);
    void loseLeadership();
    void rebuild(const EventContext &now);
    void adoptAssignments(const EventContext &now);
    void flush(const EventContext &now);
    bool decides(const EventContext &now) const { return leader_ && now.hasAuthority; }
    [[nodiscard]] std::vector<WorkerView> workerViews() const;

    // bookings.cpp
    void setBookings(const EventContext &now, std::span<const Wire::Booking> bookings,
                     const Wire::Configuration &configuration);
    void reconcile(const EventContext &now, BookingEntry &booking);
    void runWallTimers(const EventContext &now);
    void runDelays(const EventContext &now);
    void enqueue(const EventContext &now, BookingEntry &booking, std::uint32_t index);
    void enqueueGang(const EventContext &now, BookingEntry &booking);
    void withdraw(BookingEntry &booking, std::uint32_t index);
    void endBooking(const EventContext &now, BookingEntry &booking);
    void dropIfDone(const BookingId &booking);
    BookingEntry *find(const BookingId &booking);
    TaskEntry *find(const TaskId &task);
    std::shared_ptr<const Placement::Work> workOf(const BookingSpec &spec) const;

    // planning.cpp
    void plan(const EventContext &now);
    void execute(const EventContext &now, Placement::PlannedStep &step);
    void assign(const EventContext &now, Placement::PlannedStep &step);
    void assignmentApplied(const EventContext &now, const Wire::AssignTasks &command, bool accepted);
    void unplace(const EventContext &now, BookingEntry &booking, std::uint32_t index, Duration delay);
    void startGangIfPrepared(const EventContext &now, BookingEntry &booking);
    void startApplied(const EventContext &now, const std::string &booking, bool accepted);
    void retryStarts(const EventContext &now);
    void forgetOldHistory(const EventContext &now);
    void decide(std::string action, const TaskId &task, const TaskEntry *entry, std::string reason);

    // workersyncs.cpp
    void workerSync(const EventContext &now, const Wire::WorkerSync &sync);
    void acceptReport(const EventContext &now, Slot slot, const Wire::WorkerSync &sync);
    void taskReported(const EventContext &now, Slot slot, const Wire::TaskStatus &status, bool full);
    void liveTaskReported(const EventContext &now, const TaskId &id, TaskEntry &entry, const Wire::TaskStatus &status,
                          bool full);
    void usageReported(const EventContext &now, const TaskId &id, TaskEntry &entry, const Resources &usage);
    void checkMemory(const EventContext &now);
    void missingFromReport(const EventContext &now, Slot slot, const std::set<TaskId> &reported);
    void updatePressure(Slot slot);
    void shedExcess(const EventContext &now, Slot slot);
    void updateAccepting(const EventContext &now, Slot slot);
    void moveTasksAway(const EventContext &now, Slot slot);
    void checkHealth(const EventContext &now);

    // answers.cpp
    void answerDue(const EventContext &now);
    void answer(const EventContext &now, Slot slot);
    [[nodiscard]] bool needsOrder(const TaskId &id, const TaskEntry &entry) const;
    void addTaskOrders(const TaskId &id, TaskEntry &entry, Wire::WorkerOrders &orders);
    void loseExpired(const EventContext &now);
    void removeIfGone(Slot slot);

    // ends.cpp
    void stop(const EventContext &now, const TaskId &id, TaskEntry &entry, StopCause cause, Duration grace);
    void checkStopDeadlines(const EventContext &now);
    void proposeEnd(const EventContext &now, const TaskId &id, TaskEntry &entry, Wire::TaskEndReason reason,
                    std::string detail);
    void flushEnds(const EventContext &now);
    void endsApplied(const EventContext &now, const Wire::EndTasks &command);
    void endApplied(const EventContext &now, const Wire::TaskEnd &end, TaskEntry &entry);
    void endedTaskNext(const EventContext &now, BookingEntry &booking, std::uint32_t index);
    void failed(const EventContext &now, BookingEntry &booking, std::uint32_t index);
    void gangMemberEnded(const EventContext &now, BookingEntry &booking);
    void judgeWorker(const EventContext &now, const TaskId &id, const TaskEntry &entry, Wire::TaskEndReason reason);

    // explanation.cpp
    [[nodiscard]] Explanation explain(const BookingId &id) const;
    void explainHistory(const BookingId &id, std::uint32_t tasks, Explanation &answer) const;

    Worker &worker(Slot slot);
    Wire::ZoneCommand &propose(const EventContext &now);

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
