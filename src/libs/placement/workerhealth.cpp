#include "placement/workerhealth.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{
constexpr std::size_t failedBookingsBeforeQuarantine = 3;
constexpr Duration firstPause = 10s;
constexpr Duration maxPause = 10min;
} // namespace

bool WorkerHealth::recordFailure(TimePoint now, const WorkerId &worker, const BookingId &booking, Duration runTime,
                                 bool failsElsewhere)
{
    if (runTime >= earlyFailure || failsElsewhere) {
        recordProbeLost(worker);
        return false;
    }
    Record &record = records_[worker];
    record.failedBookings.insert(booking);
    if (!record.probing && (record.quarantined || record.failedBookings.size() < failedBookingsBeforeQuarantine))
        return false;
    record.pause = record.pause == Duration::zero() ? firstPause : std::min(record.pause * 2, maxPause);
    record.pauseEnd = now + record.pause;
    record.quarantined = true;
    record.probing = false;
    return true;
}

void WorkerHealth::recordSuccess(const WorkerId &worker, const BookingId &booking)
{
    const auto found = records_.find(worker);
    if (found == records_.end())
        return;
    // A success of work that was started before the quarantine does not show that new work would succeed.
    if (found->second.quarantined && !found->second.probing) {
        found->second.failedBookings.erase(booking);
        return;
    }
    records_.erase(found);
}

void WorkerHealth::recordPlacement(const WorkerId &worker)
{
    const auto found = records_.find(worker);
    if (found != records_.end() && found->second.quarantined)
        found->second.probing = true;
}

void WorkerHealth::recordProbeLost(const WorkerId &worker)
{
    const auto found = records_.find(worker);
    if (found != records_.end())
        found->second.probing = false;
}

WorkerHealth::Mode WorkerHealth::mode(TimePoint now, const WorkerId &worker) const
{
    const auto found = records_.find(worker);
    if (found == records_.end() || !found->second.quarantined)
        return Mode::Healthy;
    if (found->second.probing)
        return Mode::Probing;
    return now < found->second.pauseEnd ? Mode::Quarantined : Mode::ProbeDue;
}

TimePoint WorkerHealth::pauseEnd(const WorkerId &worker) const
{
    const auto found = records_.find(worker);
    return found == records_.end() ? TimePoint{} : found->second.pauseEnd;
}

} // namespace Pistachio::Placement
