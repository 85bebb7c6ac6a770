#include "controlnode/zonereport.h"

#include "cellstate/cellstate.h"
#include "scheduler/zonescheduler.h"
#include "sheet/wirebooking.h"
#include "zonestate/zonestate.h"

#include <control.pb.h>

namespace Pistachio::Controlnode
{

namespace
{

constexpr Duration silenceLimit = 6s; ///< two long polls; operators see it before the lease has expired

std::string_view endName(ZoneState::EndReason reason)
{
    switch (reason) {
    case ZoneState::EndReason::Completed:
        return "completed";
    case ZoneState::EndReason::Failed:
        return "failed";
    case ZoneState::EndReason::Stopped:
        return "stopped";
    case ZoneState::EndReason::Lost:
        return "worker lost";
    case ZoneState::EndReason::NotStarted:
        return "not started";
    case ZoneState::EndReason::None:
        break;
    }
    return {};
}

std::string_view stateName(TimePoint now, const Scheduler::WorkerView &worker)
{
    if (now - worker.lastSync > silenceLimit)
        return "lost";
    if (worker.quarantined)
        return "quarantined";
    if (worker.leaving)
        return "leaving";
    return worker.draining ? "draining" : "ready";
}

void fillTask(const TaskId &task, const ZoneState::TaskTable &tasks, Wire::TaskReport &report)
{
    report.mutable_task()->set_booking(task.booking.value());
    report.mutable_task()->set_index(task.index);
    if (const auto *past = tasks.past(task)) {
        report.set_incarnation(past->incarnation);
        report.set_state(past->completed ? "ended" : "waiting");
        report.set_reason(past->detail.empty() ? std::string(endName(past->reason)) : past->detail);
    } else {
        report.set_state("waiting");
    }
    if (const auto *assignment = tasks.assignment(task)) {
        report.set_incarnation(assignment->incarnation);
        report.set_state(assignment->gang && !assignment->started ? "prepared" : "running");
        report.set_worker(assignment->worker.value());
        report.clear_reason();
    }
}

} // namespace

void fillZoneReport(TimePoint now, const ZoneId &zone, const Cellstate::CellState &cell,
                    const ZoneState::ZoneState &state, const Scheduler::ZoneScheduler &scheduler,
                    Wire::ZoneReport &report)
{
    report.set_zone(zone.value());
    for (const auto &worker : scheduler.workers()) {
        auto &item = *report.add_workers();
        item.set_worker(worker.worker.value());
        item.set_rack(worker.rack);
        Sheet::toWire(worker.capacity, *item.mutable_capacity());
        Sheet::toWire(worker.allocated, *item.mutable_allocated());
        item.set_tasks(worker.tasks);
        item.set_state(std::string(stateName(now, worker)));
    }
    for (const auto &[id, record] : cell.bookings()) {
        if (record.booking.zone != zone)
            continue;
        auto &item = *report.add_bookings();
        const auto explanation = scheduler.explain(id);
        item.set_booking(id.value());
        item.set_state(std::string(toString(explanation.state)));
        item.set_reason(explanation.reason);
        for (const auto &detail : explanation.details)
            item.add_details(detail);
        item.set_waiting(explanation.waiting);
        item.set_running(explanation.running);
        for (std::uint32_t index = 0; index < record.booking.tasks; ++index)
            fillTask({id, index}, state.tasks(), *item.add_tasks());
    }
}

} // namespace Pistachio::Controlnode
