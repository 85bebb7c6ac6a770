#include "jobs/fleet.h"

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
    for (const auto &[id, minion] : minions_) {
        if (id == report.life.id || minion.report.address != report.address)
            continue;
        if (minion.report.life.bornUnixMs > report.life.bornUnixMs)
            return ReportEffect::Stale;
        replaced.push_back(minion.report.life);
    }
    if (known == minions_.end() || !replaced.empty())
        return ReportEffect::New;
    const bool leaves = report.draining && !known->second.report.draining;
    auto kept = report;
    // A minion that has announced to leave does not return from that.
    kept.draining = report.draining || known->second.report.draining;
    known->second.report = std::move(kept);
    return leaves ? ReportEffect::New : ReportEffect::Known;
}

Minion *Fleet::find(const MinionLife &life)
{
    auto *minion = find(life.id);
    return minion && minion->report.life == life ? minion : nullptr;
}

const Minion *Fleet::find(const MinionLife &life) const
{
    const auto found = minions_.find(life.id);
    return found != minions_.end() && found->second.report.life == life ? &found->second : nullptr;
}

Minion *Fleet::find(const std::string &id)
{
    const auto found = minions_.find(id);
    return found == minions_.end() ? nullptr : &found->second;
}

void Fleet::add(MinionReport report)
{
    auto &minion = minions_[report.life.id];
    minion = Minion();
    minion.report = std::move(report);
}

} // namespace Pistachio::Jobs
