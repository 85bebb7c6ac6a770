#include "simulatedminion.h"

#include <algorithm>

namespace Pistachio::Benchmark
{

std::optional<Work> SimulatedMinion::receive(const Work &work, bool &refused)
{
    refused = false;
    if (running_ < announcement_.slots) {
        ++running_;
        return work;
    }
    if (queues_)
        waiting_.push_back(work);
    else
        refused = true;
    return std::nullopt;
}

std::optional<Work> SimulatedMinion::finish()
{
    --running_;
    if (waiting_.empty())
        return std::nullopt;
    ++running_;
    Work next = waiting_.front();
    waiting_.pop_front();
    return next;
}

void SimulatedMinion::attemptOpened(std::size_t entry)
{
    if (++open_ > announcement_.slots)
        ++timesAboveSlots_;
    peakBy_[entry] = std::max(peakBy_[entry], ++openBy_[entry]);
}

void SimulatedMinion::attemptClosed(std::size_t entry)
{
    --open_;
    --openBy_[entry];
}

Routing::MinionAnnouncement SimulatedMinion::announce(std::size_t entry, std::size_t entriesInZone) const
{
    Routing::MinionAnnouncement result = announcement_;
    result.slotsInUse = running_;
    std::uint32_t sum = 0;
    std::uint32_t before = 0;
    for (const auto &[other, peak] : peakBy_) {
        sum += peak;
        before += other < entry ? peak : 0;
    }
    const auto own = peakBy_.find(entry);
    if (own == peakBy_.end() || sum == 0)
        return result;
    // One slot for each entry, the rest by use; rounding the running total makes the credits add up to all slots.
    const std::uint32_t spare = announcement_.slots - static_cast<std::uint32_t>(entriesInZone);
    result.credits = 1 + spare * (before + own->second) / sum - spare * before / sum;
    return result;
}

void SimulatedMinion::endCreditRound()
{
    peakBy_ = openBy_;
}

Duration SimulatedMinion::durationOf(const Work &work) const
{
    constexpr int slowdown = 10;
    switch (fault_) {
    case Fault::Slow:
        return work.serviceTime * slowdown;
    case Fault::Failing:
        return 1ms;
    case Fault::None:
    case Fault::Silent:
        break;
    }
    return work.serviceTime;
}

} // namespace Pistachio::Benchmark
