#include "scheduler/workeragent.h"

#include "wire/convert.h"

#include <worker.pb.h>

namespace Pistachio::Scheduler
{

namespace
{

Wire::TaskState toWire(AgentTaskState state)
{
    switch (state) {
    case AgentTaskState::Preparing:
        return Wire::TASK_STATE_UNSPECIFIED;
    case AgentTaskState::Prepared:
        return Wire::TASK_STATE_PREPARED;
    case AgentTaskState::Running:
        return Wire::TASK_STATE_RUNNING;
    case AgentTaskState::Ended:
        return Wire::TASK_STATE_ENDED;
    }
    return Wire::TASK_STATE_UNSPECIFIED;
}

Wire::TaskEndReason toWire(AgentEnd end)
{
    switch (end) {
    case AgentEnd::Completed:
        return Wire::TASK_END_COMPLETED;
    case AgentEnd::Failed:
        return Wire::TASK_END_FAILED;
    case AgentEnd::Stopped:
        return Wire::TASK_END_STOPPED;
    case AgentEnd::Lost:
        return Wire::TASK_END_LOST;
    case AgentEnd::NotStarted:
        return Wire::TASK_END_NOT_STARTED;
    }
    return Wire::TASK_END_LOST;
}

void markEnded(AgentTask &task, AgentEnd reason, std::string_view detail)
{
    task.state = AgentTaskState::Ended;
    task.endReason = reason;
    task.detail = detail;
    task.usage = {};
    task.changed = true;
}

} // namespace

WorkerAgent::WorkerAgent(WorkerId worker, std::string bootId, std::string rack, Resources capacity)
    : worker_(std::move(worker))
    , bootId_(std::move(bootId))
    , rack_(std::move(rack))
    , capacity_(capacity)
{
}

Wire::WorkerSync WorkerAgent::makeSync(TimePoint now)
{
    // The answer to the last sync may be lost with its orders, so the leader needs all tasks to send them again.
    if (syncOutstanding_)
        sendFullReport_ = true;
    Wire::WorkerSync sync;
    sync.set_worker(worker_.value());
    sync.set_boot_id(bootId_);
    sync.set_sequence(++sequence_);
    sync.set_epoch_seen(epoch_);
    sync.set_full(sendFullReport_);
    sync.set_leaving(leaving_);
    if (sendFullReport_) {
        Wire::fill(*sync.mutable_capacity(), capacity_);
        sync.set_rack(rack_);
    }
    for (auto &[id, task] : tasks_) {
        if (!sendFullReport_ && !task.changed && !task.usageChanged)
            continue;
        Wire::TaskStatus &status = *sync.add_tasks();
        Wire::fill(*status.mutable_task(), id);
        status.set_incarnation(task.incarnation);
        status.set_state(toWire(task.state));
        if (task.state == AgentTaskState::Ended)
            status.set_end_reason(toWire(task.endReason));
        status.set_detail(task.detail);
        if (task.usage != Resources{})
            Wire::fill(*status.mutable_usage(), task.usage);
        task.changed = false;
        task.usageChanged = false;
    }
    sendFullReport_ = false;
    leavingReported_ = true;
    syncOutstanding_ = true;
    syncCreatedAt_ = now;
    return sync;
}

std::vector<WorkerAction> WorkerAgent::ordersReceived(TimePoint now, const Wire::WorkerOrders &orders)
{
    std::vector<WorkerAction> actions = tick(now);
    const TimePoint expiry = syncCreatedAt_ + std::chrono::milliseconds(orders.lease_ms());
    if (!syncOutstanding_ || orders.boot_id() != bootId_ || orders.answered_sequence() != sequence_
        || orders.epoch() < epoch_ || now >= expiry)
        return actions;
    syncOutstanding_ = false;
    epoch_ = orders.epoch();
    if (!leaseExpiry_ || *leaseExpiry_ < expiry)
        leaseExpiry_ = expiry;
    sendFullReport_ = sendFullReport_ || orders.send_full();

    for (const Wire::EndRecorded &recorded : orders.recorded()) {
        const auto found = tasks_.find(Wire::toCore(recorded.task()));
        if (found != tasks_.end() && found->second.incarnation == recorded.incarnation()
            && found->second.state == AgentTaskState::Ended)
            tasks_.erase(found);
    }
    for (const Wire::StopTask &stop : orders.stop()) {
        const TaskId id = Wire::toCore(stop.task());
        AgentTask *task = findLive(id, stop.incarnation());
        if (task == nullptr)
            continue;
        WorkerAction action{
            WorkerAction::Kind::Stop, id, stop.incarnation(), {}, std::chrono::milliseconds(stop.grace_ms()),
            stop.checkpoint()};
        if (stop.grace_ms() == 0) {
            action.kind = WorkerAction::Kind::Kill;
            markEnded(*task, AgentEnd::Stopped, {});
        }
        actions.push_back(std::move(action));
    }
    for (const Wire::RunTask &order : orders.run()) {
        if (auto action = run(order))
            actions.push_back(std::move(*action));
    }
    for (const Wire::TaskId &started : orders.start()) {
        const TaskId id = Wire::toCore(started);
        const auto found = tasks_.find(id);
        if (found == tasks_.end() || found->second.state != AgentTaskState::Prepared)
            continue;
        found->second.state = AgentTaskState::Running;
        found->second.changed = true;
        actions.push_back({WorkerAction::Kind::Start, id, found->second.incarnation, {}, {}});
    }
    for (const Wire::ThrottleTask &throttle : orders.throttle()) {
        const TaskId id = Wire::toCore(throttle.task());
        if (findLive(id, throttle.incarnation()) != nullptr)
            actions.push_back(
                {WorkerAction::Kind::Throttle, id, throttle.incarnation(), {}, {}, false, throttle.percent()});
    }
    return actions;
}

std::optional<WorkerAction> WorkerAgent::run(const Wire::RunTask &order)
{
    const TaskId id = Wire::toCore(order.task());
    const Resources resources = Wire::toCore(order.resources());
    const auto found = tasks_.find(id);
    // An incarnation is never run twice. The leader stops a previous one before it orders the next.
    if (found != tasks_.end()
        && (found->second.incarnation >= order.incarnation() || found->second.state != AgentTaskState::Ended))
        return std::nullopt;
    AgentTask task;
    task.incarnation = order.incarnation();
    task.resources = resources;
    if (!(allocated() + resources).fitsIn(capacity_)) {
        markEnded(task, AgentEnd::NotStarted, "exceeds the worker's capacity");
        tasks_.insert_or_assign(id, std::move(task));
        return std::nullopt;
    }
    if (!order.prepare_only())
        task.state = AgentTaskState::Running;
    tasks_.insert_or_assign(id, std::move(task));
    return WorkerAction{order.prepare_only() ? WorkerAction::Kind::Prepare : WorkerAction::Kind::Run,
                        id,
                        order.incarnation(),
                        order.command(),
                        {}};
}

std::vector<WorkerAction> WorkerAgent::tick(TimePoint now)
{
    std::vector<WorkerAction> actions;
    if (!leaseExpiry_ || now < *leaseExpiry_)
        return actions;
    leaseExpiry_.reset();
    for (auto &[id, task] : tasks_) {
        if (task.state == AgentTaskState::Ended)
            continue;
        markEnded(task, AgentEnd::Lost, "the lease expired");
        actions.push_back({WorkerAction::Kind::Kill, id, task.incarnation, {}, {}});
    }
    return actions;
}

AgentTask *WorkerAgent::findLive(const TaskId &task, std::uint64_t incarnation)
{
    const auto found = tasks_.find(task);
    const bool isLive = found != tasks_.end() && found->second.incarnation == incarnation
        && found->second.state != AgentTaskState::Ended;
    return isLive ? &found->second : nullptr;
}

void WorkerAgent::taskPrepared(const TaskId &task, std::uint64_t incarnation)
{
    AgentTask *found = findLive(task, incarnation);
    if (found == nullptr || found->state != AgentTaskState::Preparing)
        return;
    found->state = AgentTaskState::Prepared;
    found->changed = true;
}

void WorkerAgent::taskEnded(const TaskId &task, std::uint64_t incarnation, AgentEnd reason, std::string_view detail)
{
    if (AgentTask *found = findLive(task, incarnation))
        markEnded(*found, reason, detail);
}

void WorkerAgent::usageMeasured(const TaskId &task, std::uint64_t incarnation, const Resources &usage)
{
    AgentTask *found = findLive(task, incarnation);
    if (found == nullptr || found->usage == usage)
        return;
    found->usage = usage;
    found->usageChanged = true;
}

void WorkerAgent::setLeaving(bool leaving)
{
    leavingReported_ = leavingReported_ && leaving_ == leaving;
    leaving_ = leaving;
}

void WorkerAgent::setCapacity(const Resources &capacity)
{
    if (capacity_ == capacity)
        return;
    capacity_ = capacity;
    sendFullReport_ = true;
}

bool WorkerAgent::hasUnreportedChanges() const
{
    if (sendFullReport_ || !leavingReported_)
        return true;
    for (const auto &[id, task] : tasks_) {
        if (task.changed)
            return true;
    }
    return false;
}

Resources WorkerAgent::allocated() const
{
    Resources sum;
    for (const auto &[id, task] : tasks_) {
        if (task.state != AgentTaskState::Ended)
            sum += task.resources;
    }
    return sum;
}

} // namespace Pistachio::Scheduler
