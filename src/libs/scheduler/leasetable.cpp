#include "scheduler/leasetable.h"

#include <algorithm>

namespace Pistachio::Scheduler
{

namespace
{
// Number of previous processes of a worker whose delayed syncs are recognized.
constexpr std::size_t maxRetiredBootIds = 8;
} // namespace

void LeaseTable::reset(TimePoint /*now*/, std::uint64_t term)
{
    term_ = term;
    leases_.clear();
    due_.clear();
    expiries_.clear();
}

LeaseTable::Lease &LeaseTable::leaseOf(Slot worker)
{
    if (worker >= leases_.size())
        leases_.resize(worker + 1);
    return leases_[worker];
}

void LeaseTable::track(TimePoint now, Slot worker)
{
    if (!leaseOf(worker).tracked)
        setExpiry(worker, now + lossTimeout);
}

LeaseTable::SyncResult LeaseTable::syncReceived(TimePoint now, Slot worker, const std::string &bootId,
                                                std::uint64_t sequence, std::uint64_t epochSeen, bool full)
{
    Lease &lease = leaseOf(worker);
    if (std::find(lease.retiredBootIds.begin(), lease.retiredBootIds.end(), bootId) != lease.retiredBootIds.end())
        return SyncResult::Ignored;
    if (!lease.bootId.empty() && lease.bootId == bootId) {
        if (sequence <= lease.sequence)
            return SyncResult::Ignored;
        lease.sequence = sequence;
        lease.lastSync = now;
        setOutstanding(worker, bootId, sequence, now, now + pollInterval);
        return SyncResult::Accepted;
    }
    if (lease.candidateBootId == bootId && sequence <= lease.candidateSequence)
        return SyncResult::Ignored;
    const bool confirmed = lease.candidateBootId == bootId && epochSeen == term_ && full;
    lease.lastSync = now;
    if (!confirmed) {
        lease.candidateBootId = bootId;
        lease.candidateSequence = sequence;
        track(now, worker);
        setOutstanding(worker, bootId, sequence, now, now);
        return SyncResult::Unconfirmed;
    }
    const bool restarted = !lease.bootId.empty();
    const std::string &previous = restarted ? lease.bootId : lease.previousBootId;
    if (!previous.empty() && previous != bootId) {
        lease.retiredBootIds.push_back(previous);
        if (lease.retiredBootIds.size() > maxRetiredBootIds)
            lease.retiredBootIds.erase(lease.retiredBootIds.begin());
    }
    lease.previousBootId.clear();
    lease.bootId = bootId;
    lease.sequence = sequence;
    lease.candidateBootId.clear();
    track(now, worker);
    setOutstanding(worker, bootId, sequence, now, now + pollInterval);
    return restarted ? SyncResult::Restarted : SyncResult::Accepted;
}

void LeaseTable::setOutstanding(Slot worker, const std::string &bootId, std::uint64_t sequence, TimePoint now,
                                TimePoint due)
{
    Lease &lease = leases_[worker];
    if (lease.outstanding)
        due_.erase({lease.outstanding->due, worker});
    lease.outstanding = Outstanding{bootId, sequence, now, due};
    due_.emplace(due, worker);
}

void LeaseTable::setExpiry(Slot worker, TimePoint expiry)
{
    Lease &lease = leases_[worker];
    if (lease.tracked)
        expiries_.erase({lease.expiry, worker});
    lease.tracked = true;
    lease.expiry = expiry;
    expiries_.emplace(expiry, worker);
}

void LeaseTable::answerSoon(TimePoint now, Slot worker)
{
    if (!hasOutstanding(worker))
        return;
    Outstanding &outstanding = *leases_[worker].outstanding;
    if (outstanding.due <= now)
        return;
    due_.erase({outstanding.due, worker});
    outstanding.due = now;
    due_.emplace(now, worker);
}

std::vector<LeaseTable::Slot> LeaseTable::dueWorkers(TimePoint now, TimePoint leadershipConfirmedAt)
{
    std::vector<Slot> slots;
    for (const auto &[due, worker] : due_) {
        if (due > now)
            break;
        if (leases_[worker].outstanding->arrived <= leadershipConfirmedAt)
            slots.push_back(worker);
    }
    return slots;
}

void LeaseTable::answered(TimePoint now, Slot worker)
{
    Lease &lease = leaseOf(worker);
    if (lease.outstanding)
        due_.erase({lease.outstanding->due, worker});
    lease.outstanding.reset();
    setExpiry(worker, now + lossTimeout);
}

std::vector<LeaseTable::Slot> LeaseTable::takeExpired(TimePoint now)
{
    std::vector<Slot> slots;
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const Slot worker = expiries_.begin()->second;
        expiries_.erase(expiries_.begin());
        Lease &lease = leases_[worker];
        if (lease.outstanding)
            due_.erase({lease.outstanding->due, worker});
        // Delayed syncs of previous processes may still arrive after the lease has expired.
        Lease expired;
        expired.previousBootId = lease.bootId.empty() ? lease.previousBootId : lease.bootId;
        expired.retiredBootIds = std::move(lease.retiredBootIds);
        lease = std::move(expired);
        slots.push_back(worker);
    }
    return slots;
}

void LeaseTable::remove(Slot worker)
{
    if (worker < leases_.size() && !leases_[worker].tracked)
        leases_[worker] = Lease();
}

bool LeaseTable::isConfirmed(Slot worker) const
{
    return worker < leases_.size() && !leases_[worker].bootId.empty();
}

bool LeaseTable::isTracked(Slot worker) const
{
    return worker < leases_.size() && leases_[worker].tracked;
}

bool LeaseTable::hasOutstanding(Slot worker) const
{
    return worker < leases_.size() && leases_[worker].outstanding.has_value();
}

std::uint64_t LeaseTable::outstandingSequence(Slot worker) const
{
    return leases_[worker].outstanding->sequence;
}

const std::string &LeaseTable::outstandingBootId(Slot worker) const
{
    return leases_[worker].outstanding->bootId;
}

TimePoint LeaseTable::lastSync(Slot worker) const
{
    return worker < leases_.size() ? leases_[worker].lastSync : TimePoint{};
}

} // namespace Pistachio::Scheduler
