#include "jobs/advicecache.h"

#include <utility>

namespace Pistachio::Jobs
{

const StepAdvice &AdviceCache::adviceFor(const StepName &step) const
{
    static const StepAdvice nothing;
    const auto found = steps_.find(step);
    return found == steps_.end() ? nothing : found->second;
}

std::optional<std::string> AdviceCache::ticket(const StepName &step, const std::string &minion, TimePoint until) const
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return std::nullopt;
    const auto entry = found->second.approved.find(minion);
    if (entry == found->second.approved.end() || entry->second.validUntil < until)
        return std::nullopt;
    return entry->second.text;
}

void AdviceCache::recordRequest(const AdviceRequest &request)
{
    steps_[request.step].requestedMinions = request.minions;
}

void AdviceCache::recordAnswer(TimePoint now, Duration validity, const StepName &step,
                               std::span<const ApprovedMinion> approved)
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return;
    auto &known = found->second;
    if (known.answeredAt == TimePoint{})
        known.answeredAt = now;
    for (const auto &row : approved)
        known.approved[row.minion] = {row.ticket, now + validity};
    for (const auto &minion : std::exchange(known.requestedMinions, {})) {
        if (!known.approved.contains(minion))
            known.denied.insert(minion);
    }
}

void AdviceCache::recordFailure(TimePoint now, const StepName &step)
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return;
    found->second.requestedMinions.clear();
    found->second.failedAt = now;
}

void AdviceCache::invalidateTicket(const StepName &step, const std::string &minion)
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return;
    const auto entry = found->second.approved.find(minion);
    if (entry != found->second.approved.end())
        entry->second.validUntil = {};
}

void AdviceCache::removeMinion(const std::string &minion)
{
    for (auto &[step, known] : steps_) {
        known.approved.erase(minion);
        known.denied.erase(minion);
    }
}

} // namespace Pistachio::Jobs
