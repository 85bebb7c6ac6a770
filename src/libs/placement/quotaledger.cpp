#include "placement/quotaledger.h"

#include <utility>

namespace Pistachio::Placement
{

void QuotaLedger::setLimits(std::unordered_map<TeamId, Resources> limits)
{
    limits_ = std::move(limits);
}

bool QuotaLedger::allows(const TeamId &team, const Resources &amount) const
{
    const Resources *teamLimit = limit(team);
    return teamLimit == nullptr || (used(team) + amount).fitsIn(*teamLimit);
}

void QuotaLedger::charge(const TeamId &team, const Resources &amount)
{
    used_[team] += amount;
}

void QuotaLedger::refund(const TeamId &team, const Resources &amount)
{
    const auto found = used_.find(team);
    if (found == used_.end())
        return;
    found->second -= amount;
    if (found->second == Resources{})
        used_.erase(found);
}

Resources QuotaLedger::used(const TeamId &team) const
{
    const auto found = used_.find(team);
    return found == used_.end() ? Resources{} : found->second;
}

const Resources *QuotaLedger::limit(const TeamId &team) const
{
    const auto found = limits_.find(team);
    return found == limits_.end() ? nullptr : &found->second;
}

} // namespace Pistachio::Placement
