#include "jobs/fleet.h"

#include <algorithm>
#include <utility>

namespace Pistachio::Jobs
{

ReportEffect Fleet::report(const MinionReport &report, std::vector<MinionLife> &replaced)
{
    const auto known = minions_.find(report.life.id);
    if (known != minions_.end()) {
        const auto &held = known->second.report;
        if (report.life.bornUnixMs < held.life.bornUnixMs)
            return ReportEffect::Stale;
        if (report.life.bornUnixMs == held.life.bornUnixMs && report.sequence <= held.sequence && held.sequence > 0)
            return ReportEffect::Stale;
        if (report.life.bornUnixMs > held.life.bornUnixMs)
            replaced.push_back(held.life);
    }
    const auto [first, last] = byAddress_.equal_range(report.address);
    for (auto entry = first; entry != last; ++entry) {
        const auto &life = entry->second->report.life;
        if (life.id == report.life.id)
            continue;
        if (life.bornUnixMs > report.life.bornUnixMs)
            return ReportEffect::Stale;
        replaced.push_back(life);
    }
    if (known == minions_.end() || !replaced.empty())
        return ReportEffect::New;
    const bool leaves = report.draining && !known->second.report.draining;
    auto kept = report;
    // A minion that has announced to leave does not return from that.
    kept.draining = report.draining || known->second.report.draining;
    forgetAddress(known->second);
    known->second.report = std::move(kept);
    byAddress_.emplace(known->second.report.address, &known->second);
    return leaves ? ReportEffect::New : ReportEffect::Known;
}

Minion *Fleet::find(const MinionLife &life)
{
    auto *minion = find(life.id);
    return minion && minion->report.life == life ? minion : nullptr;
}

const Minion *Fleet::find(const MinionLife &life) const
{
    const auto found = byId_.find(life.id);
    return found != byId_.end() && found->second->report.life == life ? found->second : nullptr;
}

Minion *Fleet::find(const std::string &id)
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : found->second;
}

void Fleet::add(MinionReport report)
{
    auto &minion = minions_[report.life.id];
    forgetAddress(minion);
    minion = Minion();
    minion.report = std::move(report);
    byId_[minion.report.life.id] = &minion;
    byAddress_.emplace(minion.report.address, &minion);
}

void Fleet::remove(const std::string &id)
{
    const auto found = minions_.find(id);
    if (found == minions_.end())
        return;
    forgetAddress(found->second);
    byId_.erase(id);
    minions_.erase(found);
}

void Fleet::clear()
{
    byId_.clear();
    byAddress_.clear();
    minions_.clear();
}

void Fleet::forgetAddress(const Minion &minion)
{
    const auto [first, last] = byAddress_.equal_range(minion.report.address);
    const auto entry = std::find_if(first, last, [&minion](const auto &item) { return item.second == &minion; });
    if (entry != last)
        byAddress_.erase(entry);
}

} // namespace Pistachio::Jobs
