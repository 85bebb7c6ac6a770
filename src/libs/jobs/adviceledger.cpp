#include "jobs/adviceledger.h"

#include <utility>

namespace Pistachio::Jobs
{

const StepAdvice &AdviceLedger::about(const StepName &step) const
{
    static const StepAdvice nothing;
    const auto found = steps_.find(step);
    return found == steps_.end() ? nothing : found->second;
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
