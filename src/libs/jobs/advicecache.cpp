#include "jobs/advicecache.h"

#include "jobs/fleet.h"

#include <algorithm>
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
    const auto *ticket = found->second.ticketFor(minion);
    if (!ticket || ticket->validUntil < until)
        return std::nullopt;
    return ticket->text;
}

void AdviceCache::recordRequest(const AdviceRequest &request)
{
    steps_[request.step].requestedMinions = request.minions;
}

void AdviceCache::recordAnswer(TimePoint now, Duration validity, const StepName &step,
                               std::span<const ApprovedMinion> approved, Fleet &fleet)
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return;
    auto &known = found->second;
    if (known.answeredAt == TimePoint{})
        known.answeredAt = now;
    for (const auto &row : approved) {
        auto ticket = std::ranges::lower_bound(known.approved, row.minion, {}, &StepAdvice::Ticket::minionId);
        if (ticket == known.approved.end() || ticket->minionId != row.minion)
            ticket = known.approved.insert(ticket, {row.minion, fleet.find(row.minion), {}, {}});
        ticket->text = row.ticket;
        ticket->validUntil = now + validity;
    }
    for (const auto &minion : std::exchange(known.requestedMinions, {})) {
        if (!known.ticketFor(minion))
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
    for (auto &ticket : found->second.approved) {
        if (ticket.minionId == minion)
            ticket.validUntil = {};
    }
}

void AdviceCache::removeMinion(const std::string &minion)
{
    for (auto &[step, known] : steps_) {
        std::erase_if(known.approved, [&minion](const auto &ticket) { return ticket.minionId == minion; });
        known.denied.erase(minion);
    }
}

} // namespace Pistachio::Jobs
