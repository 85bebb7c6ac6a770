#include "jobs/fleet.h"

#include <algorithm>
#include <utility>

namespace Pistachio::Jobs
{

namespace
{

const std::string &idOf(const Minion *minion)
{
    return minion->report.incarnation.id;
}

} // namespace

ReportEffect Fleet::report(const MinionReport &report, std::vector<MinionIncarnation> &replaced)
{
    const auto known = minions_.find(report.incarnation.id);
    if (known != minions_.end()) {
        const auto &current = known->second.report;
        if (report.incarnation.bornUnixMs < current.incarnation.bornUnixMs)
            return ReportEffect::Stale;
        if (report.incarnation.bornUnixMs == current.incarnation.bornUnixMs && report.sequence <= current.sequence
            && current.sequence > 0)
            return ReportEffect::Stale;
        if (report.incarnation.bornUnixMs > current.incarnation.bornUnixMs)
            replaced.push_back(current.incarnation);
    }
    const auto [first, last] = byAddress_.equal_range(report.address);
    for (auto entry = first; entry != last; ++entry) {
        const auto &incarnation = entry->second->report.incarnation;
        if (incarnation.id == report.incarnation.id || entry->second->isReplaced)
            continue;
        if (incarnation.bornUnixMs > report.incarnation.bornUnixMs)
            return ReportEffect::Stale;
        replaced.push_back(incarnation);
    }
    if (known == minions_.end() || !replaced.empty())
        return ReportEffect::Changed;
    const bool leaves = report.draining && !known->second.report.draining;
    auto updated = report;
    // Draining is final: a later report does not undo it.
    updated.draining = report.draining || known->second.report.draining;
    auto &minion = known->second;
    const bool changesService = minion.report.service != updated.service;
    removeAddress(minion);
    if (changesService)
        removeFromService(minion);
    minion.report = std::move(updated);
    byAddress_.emplace(minion.report.address, &minion);
    if (changesService)
        addToService(minion);
    return leaves ? ReportEffect::Changed : ReportEffect::Unchanged;
}

Minion *Fleet::find(const MinionIncarnation &incarnation)
{
    auto *minion = find(incarnation.id);
    return minion && minion->report.incarnation == incarnation ? minion : nullptr;
}

const Minion *Fleet::find(const MinionIncarnation &incarnation) const
{
    const auto found = byId_.find(incarnation.id);
    return found != byId_.end() && found->second->report.incarnation == incarnation ? found->second : nullptr;
}

Minion *Fleet::find(const std::string &id)
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : found->second;
}

void Fleet::add(MinionReport report)
{
    const auto [known, isNew] = minions_.try_emplace(report.incarnation.id);
    auto &minion = known->second;
    removeAddress(minion);
    removeFromService(minion);
    const auto slot = isNew ? takeSlot() : minion.slot;
    minion = Minion();
    minion.slot = slot;
    minion.report = std::move(report);
    byId_[minion.report.incarnation.id] = &minion;
    byAddress_.emplace(minion.report.address, &minion);
    addToService(minion);
}

void Fleet::remove(const std::string &id)
{
    const auto found = minions_.find(id);
    if (found == minions_.end())
        return;
    removeAddress(found->second);
    removeFromService(found->second);
    freeSlots_.push_back(found->second.slot);
    byId_.erase(id);
    minions_.erase(found);
}

void Fleet::clear()
{
    byId_.clear();
    byAddress_.clear();
    byService_.clear();
    freeSlots_.clear();
    minions_.clear();
}

std::span<Minion *const> Fleet::minionsOf(const std::string &service) const
{
    const auto found = byService_.find(service);
    return found == byService_.end() ? std::span<Minion *const>() : found->second;
}

/// \return a slot that no minion has; the new one is among them already.
std::size_t Fleet::takeSlot()
{
    if (freeSlots_.empty())
        return minions_.size() - 1;
    const auto slot = freeSlots_.back();
    freeSlots_.pop_back();
    return slot;
}

void Fleet::addToService(Minion &minion)
{
    auto &minions = byService_[minion.report.service];
    const auto &id = minion.report.incarnation.id;
    minions.insert(std::ranges::lower_bound(minions, id, {}, idOf), &minion);
}

void Fleet::removeFromService(const Minion &minion)
{
    const auto found = byService_.find(minion.report.service);
    if (found != byService_.end())
        std::erase(found->second, &minion);
}

void Fleet::removeAddress(const Minion &minion)
{
    const auto [first, last] = byAddress_.equal_range(minion.report.address);
    const auto entry = std::find_if(first, last, [&minion](const auto &item) { return item.second == &minion; });
    if (entry != last)
        byAddress_.erase(entry);
}

} // namespace Pistachio::Jobs
