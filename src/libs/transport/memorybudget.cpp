#include "transport/memorybudget.h"

#include "transport/eventloop.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Pistachio::Transport
{

namespace
{

/// An ordinary request holds less, and is not looked at when memory is short.
constexpr std::size_t smallBytes = std::size_t{4} << 10;
constexpr std::size_t defaultBytes = std::size_t{64} << 20;
constexpr std::size_t fewestBodies = 4; ///< of the largest size that have room at a time
/// This part of the limit is freed at a time, so that the holders are compared rarely.
constexpr std::size_t freedShare = 8;

int rank(const MemoryBudget::Effort &effort)
{
    switch (effort.activity) {
    case MemoryBudget::Activity::Idle:
        return 0;
    case MemoryBudget::Activity::Receiving:
        return effort.isPeer ? 3 : 1;
    case MemoryBudget::Activity::Sending:
        return effort.isPeer ? 4 : 2;
    case MemoryBudget::Activity::Handling:
        break;
    }
    return 5;
}

/// \return the time since the beginning, weighted with the part of the message that is missing.
double delay(const MemoryBudget::Effort &effort, TimePoint now)
{
    const auto age = std::chrono::duration<double>(now - effort.since).count();
    if (effort.activity != MemoryBudget::Activity::Receiving || effort.announcedBytes == 0)
        return age;
    const auto received = static_cast<double>(std::min(effort.receivedBytes, effort.announcedBytes));
    return age * (1.0 - received / static_cast<double>(effort.announcedBytes));
}

} // namespace

MemoryBudget::Holder::Holder(std::shared_ptr<MemoryBudget> budget)
    : budget_(std::move(budget))
{
}

MemoryBudget::Holder::~Holder()
{
    budget_->held_ -= held_;
    budget_->large_.erase(this);
}

bool MemoryBudget::Holder::setHeld(std::size_t bytes)
{
    return budget_->change(*this, bytes);
}

MemoryBudget::MemoryBudget(std::size_t limit, Clock clock)
    : limit_(limit)
    , clock_(std::move(clock))
{
}

std::shared_ptr<MemoryBudget> MemoryBudget::create(std::size_t limit)
{
    return std::make_shared<MemoryBudget>(limit, &EventLoop::now);
}

std::shared_ptr<MemoryBudget> MemoryBudget::createDefault(std::size_t bodyBytes)
{
    return create(std::max(defaultBytes, fewestBodies * bodyBytes));
}

bool MemoryBudget::doesLess(const Effort &one, const Effort &other, TimePoint now)
{
    if (rank(one) != rank(other))
        return rank(one) < rank(other);
    return delay(one, now) > delay(other, now);
}

bool MemoryBudget::change(Holder &holder, std::size_t bytes)
{
    const bool wasLarge = holder.held_ >= smallBytes;
    held_ = held_ - holder.held_ + bytes;
    const bool grows = bytes > holder.held_;
    holder.held_ = bytes;
    if (wasLarge && bytes < smallBytes)
        large_.erase(&holder);
    else if (!wasLarge && bytes >= smallBytes)
        large_.insert(&holder);
    if (grows && held_ > limit_ && !relieving_)
        relieve();
    return held_ <= limit_;
}

void MemoryBudget::relieve()
{
    relieving_ = true;
    const auto now = clock_();
    std::vector<std::pair<Effort, Holder *>> candidates;
    for (auto *holder : large_) {
        if (const auto effort = holder->effort(); effort.activity != Activity::Handling)
            candidates.emplace_back(effort, holder);
    }
    std::ranges::stable_sort(
        candidates, [now](const auto &one, const auto &other) { return doesLess(one.first, other.first, now); });
    const auto target = limit_ - limit_ / freedShare;
    for (const auto &[effort, holder] : candidates) {
        if (held_ <= target)
            break;
        // Giving up may have ended others.
        if (large_.contains(holder))
            holder->relinquish();
    }
    relieving_ = false;
}

} // namespace Pistachio::Transport
