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
    Explanation explanation;
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
    explainHistory(id, spec == nullptr ? 0 : spec->tasks, explanation);
    if (spec == nullptr) {
        explanation.state = explanation.assigned > 0 ? BookingState::Ending
            : explanation.details.empty()            ? BookingState::Unknown
                                                     : BookingState::Ended;
        explanation.reason = "not in the sheet of this zone";
        return explanation;
    }
    explanation.tasks = spec->tasks;
    explanation.waiting = spec->tasks - std::min(spec->tasks, explanation.assigned + explanation.completed);
    const bool removed = booking != bookings_.end() && booking->second.removedFromSheet;
    if (removed || (spec->endUnixMs != 0 && spec->endUnixMs <= lastUnixMs_)) {
        explanation.state = explanation.assigned > 0 ? BookingState::Ending : BookingState::Ended;
        explanation.reason = removed ? "no longer in the sheet" : "past its end";
        explanation.waiting = 0;
        return explanation;
    }
    if (spec->startUnixMs > lastUnixMs_) {
        explanation.state = BookingState::Scheduled;
        explanation.reason = "its start date is in the future";
        return explanation;
    }
    if (explanation.completed == spec->tasks) {
        explanation.state = BookingState::Completed;
        return explanation;
    }
    if (booking != bookings_.end() && booking->second.held) {
        explanation.state = BookingState::Failing;
        explanation.reason = booking->second.heldReason;
        return explanation;
    }
    if (explanation.waiting > 0) {
        explanation.state = BookingState::Waiting;
        if (!leader_) {
            explanation.reason = "this instance does not lead the zone";
            return explanation;
        }
        const bool gang = spec->kind == Placement::WorkKind::Gang;
        const std::string whyUnschedulable
            = planner_->unschedulableReason(*workOf(*spec), gang ? explanation.waiting : 1);
        if (!whyUnschedulable.empty()) {
            explanation.state = BookingState::Unschedulable;
            explanation.reason = whyUnschedulable;
            return explanation;
        }
        for (std::uint32_t index = 0; index < spec->tasks && explanation.reason.empty(); ++index)
            explanation.reason = planner_->waitingFor({id, index}).value_or("");
        if (explanation.reason.empty())
            explanation.reason = "its assignment is being committed, or it is tried again after a failure";
        return explanation;
    }
    explanation.state = explanation.running == explanation.assigned ? BookingState::Running : BookingState::Starting;
    return explanation;
}

void ZoneScheduler::Private::explainHistory(const BookingId &id, std::uint32_t tasks, Explanation &explanation) const
{
    const auto booking = bookings_.find(id);
    const auto pasts = state_.tasks().pasts().find(id);
    if (pasts != state_.tasks().pasts().end()) {
        for (const auto &[index, past] : pasts->second) {
            if (past.completed && index < tasks)
                ++explanation.completed;
            if (past.reason != ZoneState::EndReason::None)
                explanation.details.push_back("task " + std::to_string(index) + ' ' + std::string(toString(past.reason))
                                              + " on " + past.worker.value() + (past.detail.empty() ? "" : ": ")
                                              + past.detail);
        }
    }
    for (const auto &[index, assignment] : state_.tasks().assignmentsOf(id)) {
        ++explanation.assigned;
        const bool known = booking != bookings_.end() && index < booking->second.tasks.size();
        const bool running = known ? booking->second.tasks[index].running : assignment.started;
        explanation.running += running ? 1 : 0;
        explanation.details.push_back("task " + std::to_string(index) + (running ? " runs on " : " is assigned to ")
                                      + assignment.worker.value());
    }
}

} // namespace Pistachio::Scheduler
