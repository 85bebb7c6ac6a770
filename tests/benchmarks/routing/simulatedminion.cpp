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
    if (queuesExcess_)
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
    peakByEntry_[entry] = std::max(peakByEntry_[entry], ++openByEntry_[entry]);
}

void SimulatedMinion::attemptClosed(std::size_t entry)
{
    --open_;
    --openByEntry_[entry];
}

Routing::MinionAnnouncement SimulatedMinion::announce(std::size_t entry, std::size_t entriesInZone) const
{
    Routing::MinionAnnouncement result = announcement_;
    result.slotsInUse = running_;
    std::uint32_t peakSum = 0;
    std::uint32_t peakSumBefore = 0;
    for (const auto &[other, peak] : peakByEntry_) {
        peakSum += peak;
        peakSumBefore += other < entry ? peak : 0;
    }
    const auto own = peakByEntry_.find(entry);
    if (own == peakByEntry_.end() || peakSum == 0)
        return result;
    // One slot for each entry, the others by use. Rounding the running total makes the credits add up to all slots.
    const std::uint32_t sharedSlots = announcement_.slots - static_cast<std::uint32_t>(entriesInZone);
    result.credits = 1 + sharedSlots * (peakSumBefore + own->second) / peakSum - sharedSlots * peakSumBefore / peakSum;
    return result;
}

void SimulatedMinion::endCreditRound()
{
    peakByEntry_ = openByEntry_;
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
