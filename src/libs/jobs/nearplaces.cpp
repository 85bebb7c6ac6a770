// Decides whether a step waits for a place near its data, or a gang for room in one rack.

#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/minionchoice.h"
#include "jobs/nearplacewait.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

bool JobScheduler::waitsForNearPlace(const StepRequirements &requirements, const StepName &name, const StepNeeds &needs,
                                     std::optional<TimePoint> nearFreeAt)
{
    NearPlaceOffer offer;
    offer.runTime = needs.usual;
    offer.remotePenalty = settings_.remotePenalty;
    offer.nearFreeAt = nearFreeAt;
    offer.readySince = queue_.readySince(name).value_or(now_.time);
    offer.latestStart = now_.time + needs.slack;
    offer.isRoomScarce = crowdedServices_.contains(requirements.queue.service());
    const auto decision = NearPlaceWait::decide(offer, now_.time);
    awaitsPlace_ = awaitsPlace_ || decision.waits;
    ports_.logDecision(LogLevel::Debug, decision.waits ? "step-awaits-near-place" : "step-placed-remotely",
                       {{"step", name.toString()},
                        {"near_in_ms", nearFreeAt ? (*nearFreeAt - now_.time) / 1ms : -1},
                        {"gain_ms", decision.gain / 1ms},
                        {"until_ms", (decision.until - now_.time) / 1ms},
                        {"expected_ms", needs.usual / 1ms},
                        {"slack_ms", needs.slack / 1ms},
                        {"room_is_scarce", offer.isRoomScarce}});
    return decision.waits;
}

bool JobScheduler::waitsForNearMinion(const StepRequirements &requirements, const StepNeeds &needs,
                                      const TaskName &task)
{
    const Minion *nearest = nullptr;
    CapacityReservations::ExpectedFit earliest;
    for (const auto *minion : eligibleMinions(task.step, requirements, Tickets::Known, Room::Later)) {
        if (!minion->hasLabel(requirements.step.data_rack()) || reservations_.isReserved(*minion))
            continue;
        const auto fit = reservations_.expectedFit(*minion, requirements.demand, now_.time);
        if (fit && (!nearest || fit->time < earliest.time)) {
            nearest = minion;
            earliest = *fit;
        }
    }
    if (!waitsForNearPlace(requirements, task.step, needs, nearest ? std::optional(earliest.time) : std::nullopt))
        return false;
    // The next task that wants the rack is offered a later place.
    reservations_.reserve(*nearest, earliest);
    return true;
}

bool JobScheduler::waitsForOneRack(const StepRequirements &requirements, const StepName &name)
{
    std::map<std::string, std::vector<TimePoint>>
        fits; // by rack: when each minion is expected to have room for one member
    for (const auto *minion : eligibleMinions(name, requirements, Tickets::Known, Room::Later)) {
        if (minion->report.labels.empty() || reservations_.isReserved(*minion))
            continue;
        if (const auto fit = reservations_.expectedFit(*minion, requirements.demand, now_.time))
            fits[minion->rack()].push_back(fit->time);
    }
    const std::size_t members = requirements.step.tasks();
    std::optional<TimePoint> earliest;
    for (auto &[rack, times] : fits) {
        if (times.size() < members)
            continue;
        std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(members - 1), times.end());
        const auto whole = times[members - 1];
        earliest = earliest ? std::min(*earliest, whole) : whole;
    }
    return waitsForNearPlace(requirements, name, needsOf(requirements, name), earliest);
}

} // namespace Pistachio::Jobs
