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

/// What the program around the agent has to do with a task.
struct WorkerAction {
    enum class Kind : std::uint8_t {
        Prepare, ///< load the task; report with taskPrepared()
        Run, ///< load and run the task
        Start, ///< run a prepared task
        Stop, ///< end gracefully within \p grace; report with taskEnded()
        Kill, ///< end at once; the agent counts it as ended
        Throttle,
    };
    Kind kind = Kind::Run;
    TaskId task;
    std::uint64_t incarnation = 0;
    std::string command;
    Duration grace{};
    bool checkpoint = false;
    std::uint32_t throttlePercent = 100;
};

enum class AgentTaskState : std::uint8_t { Preparing, Prepared, Running, Ended };
enum class AgentEnd : std::uint8_t { Completed, Failed, Stopped, Lost, NotStarted };

/// A task as the worker knows it.
struct AgentTask {
    std::uint64_t incarnation = 0;
    Resources resources;
    Resources usage;
    AgentTaskState state = AgentTaskState::Preparing;
    AgentEnd end = AgentEnd::Completed;
    std::string detail;
    bool changed = true; ///< its state is not yet reported
    bool usageChanged = false; ///< reported with the next sync, which is not sent early for it
};

/// The worker's side of the lease protocol. Only one sync is outstanding at a time. The lease counts from when the
/// answered sync was made, so delays anywhere only shorten it.
class WorkerAgent
{
public:
    /// \param worker the worker's identifier
    /// \param bootId differs at each start of the worker
    /// \param rack where the worker is
    /// \param capacity what it offers
    WorkerAgent(WorkerId worker, std::string bootId, std::string rack, Resources capacity);

    /// Makes the next sync; an unanswered earlier one counts as lost.
    Wire::WorkerSync makeSync(TimePoint now);

    /// Handles an answer. Answers to another sync than the outstanding one, of an older epoch, or to a sync older than
    /// the lease are discarded.
    /// \return what to do, in order.
    std::vector<WorkerAction> ordersReceived(TimePoint now, const Wire::WorkerOrders &orders);

    /// \return kills of all tasks once the lease has expired.
    std::vector<WorkerAction> tick(TimePoint now);

    void taskPrepared(const TaskId &task, std::uint64_t incarnation);
    void taskEnded(const TaskId &task, std::uint64_t incarnation, AgentEnd end, std::string_view detail);
    void usageMeasured(const TaskId &task, std::uint64_t incarnation, const Resources &usage);

    /// Announces with the next sync that the worker leaves (or stays after all).
    void setLeaving(bool leaving);
    void setCapacity(const Resources &capacity);

    /// \return whether a change waits to be reported, so that a new sync is worth sending before the poll returns.
    [[nodiscard]] bool hasUnreportedChanges() const;
    [[nodiscard]] std::optional<TimePoint> leaseExpiry() const { return leaseExpiry_; }
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    [[nodiscard]] const Resources &capacity() const { return capacity_; }

    /// \return the declared resources of all tasks that have not ended.
    [[nodiscard]] Resources allocated() const;
    [[nodiscard]] const std::map<TaskId, AgentTask> &tasks() const { return tasks_; }

private:
    std::optional<WorkerAction> run(const Wire::RunTask &order);
    AgentTask *live(const TaskId &task, std::uint64_t incarnation);

    WorkerId worker_;
    std::string bootId_;
    std::string rack_;
    Resources capacity_;
    std::map<TaskId, AgentTask> tasks_;
    std::uint64_t sequence_ = 0;
    std::uint64_t epoch_ = 0;
    TimePoint syncMade_{};
    bool outstanding_ = false;
    bool full_ = true;
    bool leaving_ = false;
    bool announced_ = true; ///< leaving and capacity are reported
    std::optional<TimePoint> leaseExpiry_;
};

} // namespace Pistachio::Scheduler
