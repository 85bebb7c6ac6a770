#include "scheduler/explanation.h"

#include "scheduler/zoneschedulerprivate.h"
#include "zonestate/zonestate.h"

#include <algorithm>

namespace Pistachio::Scheduler
{

namespace
{

std::string_view toString(ZoneState::EndReason reason)
{
    switch (reason) {
    case ZoneState::EndReason::None:
        return "not ended";
    case ZoneState::EndReason::Completed:
        return "completed";
    case ZoneState::EndReason::Failed:
        return "failed";
    case ZoneState::EndReason::Stopped:
        return "stopped";
    case ZoneState::EndReason::Lost:
        return "lost";
    case ZoneState::EndReason::NotStarted:
        return "not started";
    }
    return "unknown";
}

} // namespace

std::string_view toString(BookingState state)
{
    switch (state) {
    case BookingState::Unknown:
        return "unknown";
    case BookingState::Scheduled:
        return "scheduled";
    case BookingState::Waiting:
        return "waiting";
    case BookingState::Starting:
        return "starting";
    case BookingState::Running:
        return "running";
    case BookingState::Ending:
        return "ending";
    case BookingState::Completed:
        return "completed";
    case BookingState::Failing:
        return "failing";
    case BookingState::Unschedulable:
        return "unschedulable";
    case BookingState::Ended:
        return "ended";
    }
    return "unknown";
}

Explanation ZoneScheduler::Private::explain(const BookingId &id) const
{
    Explanation answer;
    const BookingSpec *spec = nullptr;
    const auto booking = bookings_.find(id);
    if (booking != bookings_.end()) {
        spec = &booking->second.spec;
    } else {
        const auto found = std::find_if(specs_.begin(), specs_.end(),
                                        [&](const BookingSpec &candidate) { return candidate.id == id; });
        if (found != specs_.end())
            spec = &*found;
    }
    explainHistory(id, spec == nullptr ? 0 : spec->tasks, answer);
    if (spec == nullptr) {
        answer.state = answer.assigned > 0 ? BookingState::Ending
            : answer.details.empty()       ? BookingState::Unknown
                                           : BookingState::Ended;
        answer.reason = "not in the sheet of this zone";
        return answer;
    }
    answer.tasks = spec->tasks;
    answer.waiting = spec->tasks - std::min(spec->tasks, answer.assigned + answer.completed);
    const bool gone = booking != bookings_.end() && booking->second.gone;
    if (gone || (spec->endUnixMs != 0 && spec->endUnixMs <= lastUnixMs_)) {
        answer.state = answer.assigned > 0 ? BookingState::Ending : BookingState::Ended;
        answer.reason = gone ? "no longer in the sheet" : "past its end";
        answer.waiting = 0;
        return answer;
    }
    if (spec->startUnixMs > lastUnixMs_) {
        answer.state = BookingState::Scheduled;
        answer.reason = "its start date is in the future";
        return answer;
    }
    if (answer.completed == spec->tasks) {
        answer.state = BookingState::Completed;
        return answer;
    }
    if (booking != bookings_.end() && booking->second.held) {
        answer.state = BookingState::Failing;
        answer.reason = booking->second.heldReason;
        return answer;
    }
    if (answer.waiting > 0) {
        answer.state = BookingState::Waiting;
        if (!leader_) {
            answer.reason = "this instance does not lead the zone";
            return answer;
        }
        const bool gang = spec->kind == Placement::WorkKind::Gang;
        const std::string never = planner_->unschedulableReason(*workOf(*spec), gang ? answer.waiting : 1);
        if (!never.empty()) {
            answer.state = BookingState::Unschedulable;
            answer.reason = never;
            return answer;
        }
        for (std::uint32_t index = 0; index < spec->tasks && answer.reason.empty(); ++index)
            answer.reason = planner_->waitingFor({id, index}).value_or("");
        if (answer.reason.empty())
            answer.reason = "its assignment is being committed, or it is tried again after a failure";
        return answer;
    }
    answer.state = answer.running == answer.assigned ? BookingState::Running : BookingState::Starting;
    return answer;
}

void ZoneScheduler::Private::explainHistory(const BookingId &id, std::uint32_t tasks, Explanation &answer) const
{
    const auto booking = bookings_.find(id);
    const auto pasts = state_.tasks().pasts().find(id);
    if (pasts != state_.tasks().pasts().end()) {
        for (const auto &[index, past] : pasts->second) {
            if (past.completed && index < tasks)
                ++answer.completed;
            if (past.reason != ZoneState::EndReason::None)
                answer.details.push_back("task " + std::to_string(index) + ' ' + std::string(toString(past.reason))
                                         + " on " + past.worker.value() + (past.detail.empty() ? "" : ": ")
                                         + past.detail);
        }
    }
    for (const auto &[index, assignment] : state_.tasks().assignmentsOf(id)) {
        ++answer.assigned;
        const bool known = booking != bookings_.end() && index < booking->second.tasks.size();
        const bool running = known ? booking->second.tasks[index].running : assignment.started;
        answer.running += running ? 1 : 0;
        answer.details.push_back("task " + std::to_string(index) + (running ? " runs on " : " is assigned to ")
                                 + assignment.worker.value());
    }
}

} // namespace Pistachio::Scheduler
