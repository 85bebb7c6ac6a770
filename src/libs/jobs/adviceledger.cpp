#include "jobs/adviceledger.h"

#include <utility>

namespace Pistachio::Jobs
{

bool AdviceLedger::isAsking(const StepName &step) const
{
    const auto found = steps_.find(step);
    return found != steps_.end() && !found->second.asking.empty();
}

bool AdviceLedger::isDenied(const StepName &step, const std::string &minion) const
{
    const auto found = steps_.find(step);
    return found != steps_.end() && found->second.denied.contains(minion);
}

bool AdviceLedger::isApproved(const StepName &step, const std::string &minion) const
{
    const auto found = steps_.find(step);
    return found != steps_.end() && found->second.approved.contains(minion);
}

std::optional<std::string> AdviceLedger::ticket(const StepName &step, const std::string &minion, TimePoint until) const
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return std::nullopt;
    const auto held = found->second.approved.find(minion);
    if (held == found->second.approved.end() || held->second.validUntil < until)
        return std::nullopt;
    return held->second.text;
}

std::vector<std::string_view> AdviceLedger::ticketHolders(const StepName &step, TimePoint until) const
{
    std::vector<std::string_view> result;
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return result;
    for (const auto &[minion, ticket] : found->second.approved) {
        if (ticket.validUntil >= until)
            result.push_back(minion);
    }
    return result;
}

TimePoint AdviceLedger::failedAt(const StepName &step) const
{
    const auto found = steps_.find(step);
    return found == steps_.end() ? TimePoint{} : found->second.failedAt;
}

void AdviceLedger::asked(const AdviceRequest &request)
{
    steps_[request.step].asking = request.minions;
}

void AdviceLedger::answered(TimePoint now, Duration validity, const StepName &step,
                            std::span<const ApprovedMinion> approved)
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return;
    auto &known = found->second;
    for (const auto &row : approved)
        known.approved[row.minion] = {row.ticket, now + validity};
    for (const auto &minion : std::exchange(known.asking, {})) {
        if (!known.approved.contains(minion))
            known.denied.insert(minion);
    }
}

void AdviceLedger::failed(TimePoint now, const StepName &step)
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return;
    found->second.asking.clear();
    found->second.failedAt = now;
}

void AdviceLedger::rejected(const StepName &step, const std::string &minion)
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return;
    const auto held = found->second.approved.find(minion);
    if (held != found->second.approved.end())
        held->second.validUntil = {};
}

void AdviceLedger::forgetMinion(const std::string &minion)
{
    for (auto &[step, known] : steps_) {
        known.approved.erase(minion);
        known.denied.erase(minion);
    }
}

} // namespace Pistachio::Jobs
