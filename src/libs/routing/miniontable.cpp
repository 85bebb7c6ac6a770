#include "routing/miniontable.h"

#include <algorithm>

namespace Pistachio::Routing
{

namespace
{
/// A new sample has the weight 1/32 in the smoothed latency of a service.
constexpr int serviceLatencySmoothingDivisor = 32;
/// At most a third of a service's minions, or one of two, are ejected; otherwise a fault common to all minions would
/// become an outage.
constexpr std::size_t minionsPerEjection = 3;
} // namespace

MinionTable::MinionTable(EntryInfo self, std::unique_ptr<SlotPolicy> policy, Duration silenceTimeout,
                         Duration growthDelay)
    : self_(std::move(self))
    , policy_(std::move(policy))
    , silenceTimeout_(silenceTimeout)
    , growthDelay_(growthDelay)
{
}

void MinionTable::recordAnnouncement(TimePoint now, const MinionAnnouncement &announcement)
{
    Minion &minion = minions_[announcement.id];
    if (minion.announcement.service != announcement.service)
        removeFromService(minion);
    if (minion.announcement.address != announcement.address)
        minion.health = {};
    minion.announcement = announcement;
    minion.lastAnnounced = now;
    minion.leaving = false;
    minion.inFlightWhenAnnounced = minion.inFlight;
    services_[announcement.service].minions.insert(announcement.id);
}

void MinionTable::markLeaving(const MinionId &id)
{
    const auto minion = minions_.find(id);
    if (minion == minions_.end())
        return;
    minion->second.leaving = true;
    if (minion->second.inFlight > 0)
        return;
    removeFromService(minion->second);
    minions_.erase(minion);
}

void MinionTable::setLiveEntries(TimePoint now, std::span<const EntryInfo> entries)
{
    std::set<InstanceId> zone;
    for (const EntryInfo &entry : entries) {
        if (entry.zone == self_.zone)
            zone.insert(entry.id);
    }
    std::optional<EntryRank> rank;
    if (const auto own = zone.find(self_.id); own != zone.end())
        rank = EntryRank{static_cast<std::size_t>(std::distance(zone.begin(), own)), zone.size()};
    const bool same = rank.has_value() == rank_.has_value()
        && (!rank || (rank->position == rank_->position && rank->count == rank_->count));
    if (same)
        return;
    pastRanks_.push_back({rank_, now + growthDelay_});
    rank_ = rank;
}

void MinionTable::update(TimePoint now)
{
    std::erase_if(pastRanks_, [now](const PastRank &past) { return now >= past.validUntil; });
    for (auto position = minions_.begin(); position != minions_.end();) {
        Minion &minion = position->second;
        minion.health.update(now);
        if (now - minion.lastAnnounced >= silenceTimeout_)
            minion.leaving = true;
        if (minion.leaving && minion.inFlight == 0) {
            removeFromService(minion);
            position = minions_.erase(position);
        } else {
            ++position;
        }
    }
}

std::uint32_t MinionTable::healthyAllowance(const Minion &minion) const
{
    const auto shareAt = [this, &minion](const std::optional<EntryRank> &rank) {
        return rank ? policy_->allowance(minion.announcement, *rank, minion.inFlightWhenAnnounced) : 0U;
    };
    std::uint32_t share = shareAt(rank_);
    for (const PastRank &past : pastRanks_)
        share = std::min(share, shareAt(past.rank));
    return share;
}

std::uint32_t MinionTable::currentAllowance(const Minion &minion) const
{
    return minion.leaving || minion.health.isBackingOff() ? 0 : minion.health.allowance(healthyAllowance(minion));
}

std::vector<Candidate> MinionTable::candidates(const ServiceId &service, const std::set<MinionId> &excluded) const
{
    std::vector<Candidate> result;
    const auto known = services_.find(service);
    if (known == services_.end())
        return result;
    result.reserve(known->second.minions.size());
    for (const MinionId &id : known->second.minions) {
        const auto position = minions_.find(id);
        const Minion &minion = position->second;
        const std::uint32_t allowance = currentAllowance(minion);
        if (minion.inFlight >= allowance || excluded.contains(id))
            continue;
        result.push_back({&position->first, minion.inFlight, allowance, minion.announcement.slots,
                          minion.announcement.slotsInUse, minion.health.latency()});
    }
    return result;
}

const std::string &MinionTable::address(const MinionId &minion) const
{
    return minions_.at(minion).announcement.address;
}

void MinionTable::acquireSlot(const MinionId &minion)
{
    ++minions_.at(minion).inFlight;
}

void MinionTable::releaseSlot(const MinionId &id)
{
    const auto minion = minions_.find(id);
    if (minion != minions_.end() && minion->second.inFlight > 0)
        --minion->second.inFlight;
}

void MinionTable::recordRefusal(TimePoint now, const MinionId &id)
{
    if (const auto minion = minions_.find(id); minion != minions_.end())
        minion->second.health.recordRefusal(now);
}

void MinionTable::recordSuccess(TimePoint now, const MinionId &id, Duration latency)
{
    const auto minion = minions_.find(id);
    if (minion == minions_.end())
        return;
    Service &service = services_[minion->second.announcement.service];
    service.latency = service.latency == Duration::zero()
        ? latency
        : service.latency + (latency - service.latency) / serviceLatencySmoothingDivisor;
    minion->second.health.recordSuccess(latency);
    ejectIfUnhealthy(now, minion->second);
}

std::string_view MinionTable::recordFailure(TimePoint now, const MinionId &id)
{
    const auto minion = minions_.find(id);
    if (minion == minions_.end())
        return {};
    minion->second.health.recordFailure();
    return ejectIfUnhealthy(now, minion->second);
}

std::string_view MinionTable::ejectIfUnhealthy(TimePoint now, Minion &minion)
{
    const std::string_view reason = minion.health.ejectionReason(latency(minion.announcement.service));
    if (reason.empty() || !mayEject(minion, reason))
        return {};
    minion.health.eject(now);
    return reason;
}

bool MinionTable::mayEject(const Minion &minion, std::string_view reason) const
{
    const ServiceId &service = minion.announcement.service;
    const std::set<MinionId> &all = services_.at(service).minions;
    const auto ejected = static_cast<std::size_t>(
        std::ranges::count_if(all, [this](const MinionId &id) { return minions_.at(id).health.isEjected(); }));
    if (all.size() < 2 || ejected + 1 > std::max<std::size_t>(1, all.size() / minionsPerEjection))
        return false;
    // A failing minion does no useful work; a slow one does, so the others must be able to take over its load.
    if (reason != "slow")
        return true;
    const std::uint32_t remaining = allowance(service) - currentAllowance(minion);
    return inFlight(service) <= remaining;
}

std::uint32_t MinionTable::allowance(const ServiceId &service) const
{
    const auto known = services_.find(service);
    if (known == services_.end())
        return 0;
    std::uint32_t sum = 0;
    for (const MinionId &id : known->second.minions) {
        const Minion &minion = minions_.at(id);
        sum += std::min(currentAllowance(minion), minion.announcement.slots);
    }
    return sum;
}

std::uint32_t MinionTable::inFlight(const ServiceId &service) const
{
    const auto known = services_.find(service);
    if (known == services_.end())
        return 0;
    std::uint32_t sum = 0;
    for (const MinionId &id : known->second.minions)
        sum += minions_.at(id).inFlight;
    return sum;
}

Duration MinionTable::latency(const ServiceId &service) const
{
    const auto known = services_.find(service);
    return known == services_.end() ? Duration::zero() : known->second.latency;
}

std::size_t MinionTable::usableCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(minions_, [this](const auto &minion) { return currentAllowance(minion.second) > 0; }));
}

bool MinionTable::hasBackingOffMinion() const
{
    return std::ranges::any_of(minions_, [](const auto &minion) { return minion.second.health.isBackingOff(); });
}

std::vector<ServiceId> MinionTable::services() const
{
    std::vector<ServiceId> result;
    result.reserve(services_.size());
    for (const auto &[service, state] : services_)
        result.push_back(service);
    return result;
}

void MinionTable::removeFromService(const Minion &minion)
{
    if (const auto service = services_.find(minion.announcement.service); service != services_.end())
        service->second.minions.erase(minion.announcement.id);
}

} // namespace Pistachio::Routing
