#include "scheduler/leasetable.h"

#include <algorithm>

namespace Pistachio::Scheduler
{

namespace
{
// Earlier processes of a worker whose delayed syncs are recognized.
constexpr std::size_t rememberedProcesses = 8;
} // namespace

void LeaseTable::reset(TimePoint /*now*/, std::uint64_t term)
{
    term_ = term;
    records_.clear();
    due_.clear();
    expiries_.clear();
}

LeaseTable::Record &LeaseTable::record(Slot worker)
{
    if (worker >= records_.size())
        records_.resize(worker + 1);
    return records_[worker];
}

void LeaseTable::track(TimePoint now, Slot worker)
{
    if (!record(worker).tracked)
        setExpiry(worker, now + lossTimeout);
}

LeaseTable::Verdict LeaseTable::sync(TimePoint now, Slot worker, const std::string &bootId, std::uint64_t sequence,
                                     std::uint64_t epochSeen, bool full)
{
    Record &known = record(worker);
    if (std::find(known.retired.begin(), known.retired.end(), bootId) != known.retired.end())
        return Verdict::Ignored;
    if (!known.bootId.empty() && known.bootId == bootId) {
        if (sequence <= known.sequence)
            return Verdict::Ignored;
        known.sequence = sequence;
        known.lastSync = now;
        setOutstanding(worker, bootId, sequence, now + pollInterval);
        return Verdict::Accepted;
    }
    if (known.candidate == bootId && sequence <= known.candidateSequence)
        return Verdict::Ignored;
    const bool confirmed = known.candidate == bootId && epochSeen == term_ && full;
    known.lastSync = now;
    if (!confirmed) {
        known.candidate = bootId;
        known.candidateSequence = sequence;
        track(now, worker);
        setOutstanding(worker, bootId, sequence, now);
        return Verdict::Introduced;
    }
    const bool restarted = !known.bootId.empty();
    const std::string &before = restarted ? known.bootId : known.earlier;
    if (!before.empty() && before != bootId) {
        known.retired.push_back(before);
        if (known.retired.size() > rememberedProcesses)
            known.retired.erase(known.retired.begin());
    }
    known.earlier.clear();
    known.bootId = bootId;
    known.sequence = sequence;
    known.candidate.clear();
    track(now, worker);
    setOutstanding(worker, bootId, sequence, now + pollInterval);
    return restarted ? Verdict::Restarted : Verdict::Accepted;
}

void LeaseTable::setOutstanding(Slot worker, const std::string &bootId, std::uint64_t sequence, TimePoint due)
{
    Record &known = records_[worker];
    if (known.outstanding)
        due_.erase({known.outstanding->due, worker});
    known.outstanding = Outstanding{bootId, sequence, due};
    due_.emplace(due, worker);
}

void LeaseTable::setExpiry(Slot worker, TimePoint expiry)
{
    Record &known = records_[worker];
    if (known.tracked)
        expiries_.erase({known.expiry, worker});
    known.tracked = true;
    known.expiry = expiry;
    expiries_.emplace(expiry, worker);
}

void LeaseTable::answerSoon(TimePoint now, Slot worker)
{
    if (!hasOutstanding(worker))
        return;
    Outstanding &outstanding = *records_[worker].outstanding;
    if (outstanding.due <= now)
        return;
    due_.erase({outstanding.due, worker});
    outstanding.due = now;
    due_.emplace(now, worker);
}

std::vector<LeaseTable::Slot> LeaseTable::takeDue(TimePoint now)
{
    std::vector<Slot> slots;
    for (const auto &[due, worker] : due_) {
        if (due > now)
            break;
        slots.push_back(worker);
    }
    return slots;
}

void LeaseTable::answered(TimePoint now, Slot worker)
{
    Record &known = record(worker);
    if (known.outstanding)
        due_.erase({known.outstanding->due, worker});
    known.outstanding.reset();
    setExpiry(worker, now + lossTimeout);
}

std::vector<LeaseTable::Slot> LeaseTable::takeExpired(TimePoint now)
{
    std::vector<Slot> slots;
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const Slot worker = expiries_.begin()->second;
        expiries_.erase(expiries_.begin());
        Record &known = records_[worker];
        if (known.outstanding)
            due_.erase({known.outstanding->due, worker});
        // Delayed syncs of earlier processes may still arrive after the lease has expired.
        Record expired;
        expired.earlier = known.bootId.empty() ? known.earlier : known.bootId;
        expired.retired = std::move(known.retired);
        known = std::move(expired);
        slots.push_back(worker);
    }
    return slots;
}

void LeaseTable::forget(Slot worker)
{
    if (worker < records_.size() && !records_[worker].tracked)
        records_[worker] = Record();
}

bool LeaseTable::isConfirmed(Slot worker) const
{
    return worker < records_.size() && !records_[worker].bootId.empty();
}

bool LeaseTable::isTracked(Slot worker) const
{
    return worker < records_.size() && records_[worker].tracked;
}

bool LeaseTable::hasOutstanding(Slot worker) const
{
    return worker < records_.size() && records_[worker].outstanding.has_value();
}

std::uint64_t LeaseTable::outstandingSequence(Slot worker) const
{
    return records_[worker].outstanding->sequence;
}

const std::string &LeaseTable::outstandingBoot(Slot worker) const
{
    return records_[worker].outstanding->bootId;
}

TimePoint LeaseTable::lastSync(Slot worker) const
{
    return worker < records_.size() ? records_[worker].lastSync : TimePoint{};
}

} // namespace Pistachio::Scheduler
