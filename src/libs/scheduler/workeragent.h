#pragma once

#include "core/resources.h"
#include "core/taskid.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Wire
{
class RunTask;
class WorkerOrders;
class WorkerSync;
} // namespace Pistachio::Wire

namespace Pistachio::Scheduler
{

/// An action on a task that the process embedding the agent has to execute.
struct WorkerAction {
    enum class Kind : std::uint8_t {
        Prepare, ///< load the task, then call taskPrepared()
        Run, ///< load and run the task
        Start, ///< run a prepared task
        Stop, ///< stop gracefully within \p grace, then call taskEnded()
        Kill, ///< kill at once; the agent already counts the task as ended
        Throttle, ///< limit the task to \p throttlePercent
    };
    Kind kind = Kind::Run;
    TaskId task;
    std::uint64_t incarnation = 0; ///< see AgentTask::incarnation
    std::string command;
    Duration grace{};
    bool checkpoint = false;
    std::uint32_t throttlePercent = 100;
};

enum class AgentTaskState : std::uint8_t { Preparing, Prepared, Running, Ended };
enum class AgentEnd : std::uint8_t { Completed, Failed, Stopped, Lost, NotStarted };

/// The worker's state of a task.
struct AgentTask {
    /// Number of its assignment, higher each time the task is assigned; the boot ID names the worker's process.
    std::uint64_t incarnation = 0;
    Resources resources;
    Resources usage;
    AgentTaskState state = AgentTaskState::Preparing;
    AgentEnd endReason = AgentEnd::Completed;
    std::string detail;
    bool changed = true; ///< its state is not yet reported
    bool usageChanged = false; ///< its usage is not yet reported; causes no early sync
};

/// The worker's side of the lease protocol. Only one sync is outstanding at a time. The lease is counted from the
/// creation of the answered sync, so message delays can only shorten it.
class WorkerAgent
{
public:
    /// \param worker the worker's identifier
    /// \param bootId identifies the process; differs at each start of the worker
    /// \param rack the failure domain of the worker within the zone
    /// \param capacity the resources that it offers to tasks
    WorkerAgent(WorkerId worker, std::string bootId, std::string rack, Resources capacity);

    /// Creates the next sync. If the previous one is unanswered, its answer counts as lost.
    Wire::WorkerSync makeSync(TimePoint now);

    /// Handles the answer to a sync. It is discarded if the sync is not the outstanding one or is older than the lease
    /// duration, or if the answer comes from a leader of an older epoch.
    /// \return the actions to execute, in order.
    std::vector<WorkerAction> ordersReceived(TimePoint now, const Wire::WorkerOrders &orders);

    /// Ends all tasks once the lease has expired.
    /// \return the actions that kill them.
    std::vector<WorkerAction> tick(TimePoint now);

    void taskPrepared(const TaskId &task, std::uint64_t incarnation);
    void taskEnded(const TaskId &task, std::uint64_t incarnation, AgentEnd reason, std::string_view detail);
    void usageMeasured(const TaskId &task, std::uint64_t incarnation, const Resources &usage);

    /// Sets whether the worker is about to leave the zone, which the next sync reports.
    void setLeaving(bool leaving);
    void setCapacity(const Resources &capacity);

    /// \return whether a change is not yet reported that justifies a new sync before the outstanding one is answered.
    [[nodiscard]] bool hasUnreportedChanges() const;
    [[nodiscard]] std::optional<TimePoint> leaseExpiry() const { return leaseExpiry_; }
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    [[nodiscard]] const Resources &capacity() const { return capacity_; }

    /// \return the declared resources of all tasks that have not ended.
    [[nodiscard]] Resources allocated() const;
    [[nodiscard]] const std::map<TaskId, AgentTask> &tasks() const { return tasks_; }

private:
    std::optional<WorkerAction> run(const Wire::RunTask &order);
    AgentTask *findLive(const TaskId &task, std::uint64_t incarnation);

    WorkerId worker_;
    std::string bootId_;
    std::string rack_;
    Resources capacity_;
    std::map<TaskId, AgentTask> tasks_;
    std::uint64_t sequence_ = 0;
    std::uint64_t epoch_ = 0; ///< the leader's term in the last answer
    TimePoint syncCreatedAt_{};
    bool syncOutstanding_ = false;
    bool sendFullReport_ = true;
    bool leaving_ = false;
    bool leavingReported_ = true; ///< the value of leaving_ is reported
    std::optional<TimePoint> leaseExpiry_;
};

} // namespace Pistachio::Scheduler
