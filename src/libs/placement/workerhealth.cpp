#include "placement/workerhealth.h"

#include <algorithm>

namespace Pistachio::Placement
{

namespace
{
constexpr std::size_t failuresBeforeQuarantine = 3;
constexpr Duration firstPause = 10s;
constexpr Duration longestPause = 10min;
} // namespace

bool WorkerHealth::recordFailure(TimePoint now, const WorkerId &worker, const BookingId &booking, Duration ran,
                                 bool failsElsewhere)
{
    if (ran >= earlyFailure || failsElsewhere) {
        recordProbeLost(worker);
        return false;
    }
    Record &record = records_[worker];
    record.failed.insert(booking);
    if (!record.probing && (record.quarantined || record.failed.size() < failuresBeforeQuarantine))
        return false;
    record.pause = record.pause == Duration::zero() ? firstPause : std::min(record.pause * 2, longestPause);
    record.until = now + record.pause;
    record.quarantined = true;
    record.probing = false;
    return true;
}

void WorkerHealth::recordSuccess(const WorkerId &worker, const BookingId &booking)
{
    const auto found = records_.find(worker);
    if (found == records_.end())
        return;
    // A success of work that was started before the quarantine says nothing about new work.
    if (found->second.quarantined && !found->second.probing) {
        found->second.failed.erase(booking);
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
    return now < found->second.until ? Mode::Quarantined : Mode::ProbeDue;
}

TimePoint WorkerHealth::pauseEnd(const WorkerId &worker) const
{
    const auto found = records_.find(worker);
    return found == records_.end() ? TimePoint{} : found->second.until;
}

} // namespace Pistachio::Placement
