#include "jobnode/carriertable.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{

constexpr Duration silenceLimit = 500ms; ///< an instance that has answered no question sent since is not used
constexpr Duration askInterval = 100ms; ///< several questions may get lost within silenceLimit
constexpr double slowestClock = 0.98; ///< rate of the clock of an instance relative to the leader's

} // namespace

CarrierTable::CarrierTable(std::string ownZone)
    : ownZone_(std::move(ownZone))
{
}

void CarrierTable::clear()
{
    instances_.clear();
}

void CarrierTable::setInstances(TimePoint now, std::span<const std::string> instances)
{
    std::erase_if(instances_, [&instances](const auto &entry) {
        return std::find(instances.begin(), instances.end(), entry.first) == instances.end();
    });
    for (const auto &instance : instances)
        instances_.try_emplace(instance);
    update(now);
}

void CarrierTable::update(TimePoint now)
{
    for (auto &[address, instance] : instances_)
        instance.isUsable
            = instance.answeredAt && now < *instance.answeredAt + silenceLimit && now >= instance.notBefore;
}

Duration CarrierTable::ClockReading::atLeast(TimePoint at) const
{
    const auto since = static_cast<double>((at - readAt).count());
    return clock + Duration(static_cast<std::int64_t>(since * slowestClock));
}

void CarrierTable::answered(TimePoint now, const std::string &instance, TimePoint sentAt, std::string zone)
{
    const auto found = instances_.find(instance);
    if (found == instances_.end())
        return;
    auto &carrier = found->second;
    carrier.zone = std::move(zone);
    carrier.answeredAt = std::max(carrier.answeredAt.value_or(sentAt), sentAt);
    update(now);
}

/// A reading that was long under way says less than an earlier one that wasn't.
void CarrierTable::recordClock(TimePoint readAt, const std::string &instance, Duration clock)
{
    const auto found = instances_.find(instance);
    if (found == instances_.end())
        return;
    auto &known = found->second.clock;
    if (!known || known->atLeast(readAt) < clock)
        known = ClockReading{readAt, clock};
}

void CarrierTable::failed(TimePoint now, const std::string &instance, Duration pause)
{
    const auto found = instances_.find(instance);
    if (found == instances_.end())
        return;
    found->second.notBefore = now + pause;
    found->second.answeredAt.reset();
    found->second.clock.reset();
    update(now);
}

std::vector<std::string> CarrierTable::takeDue(TimePoint now)
{
    std::vector<std::string> due;
    for (auto &[address, instance] : instances_) {
        if (now < instance.askedAt + askInterval || now < instance.notBefore)
            continue;
        instance.askedAt = now;
        due.push_back(address);
    }
    return due;
}

void CarrierTable::asked(TimePoint now, const std::string &instance)
{
    const auto found = instances_.find(instance);
    if (found != instances_.end())
        found->second.askedAt = now;
}

std::optional<Duration> CarrierTable::clockAtLeast(TimePoint at, const std::string &instance) const
{
    const auto found = instances_.find(instance);
    if (found == instances_.end() || !found->second.clock)
        return std::nullopt;
    return found->second.clock->atLeast(at);
}

bool CarrierTable::isUsable(const std::string &instance) const
{
    const auto found = instances_.find(instance);
    return found != instances_.end() && found->second.isUsable;
}

std::optional<std::string> CarrierTable::carrierOf(const std::string &minion, std::string_view zone) const
{
    const bool hasZone = std::any_of(instances_.begin(), instances_.end(), [zone](const auto &entry) {
        return entry.second.isUsable && entry.second.zone == zone;
    });
    if (zone == ownZone_ && !hasZone)
        return std::nullopt;
    std::optional<std::string> best;
    std::size_t highest = 0;
    const auto consider = [&](const std::string &address) {
        const auto weight = std::hash<std::string>{}(address + '@' + minion);
        if (best && weight <= highest)
            return;
        best = address;
        highest = weight;
    };
    for (const auto &[address, instance] : instances_) {
        if (instance.isUsable && (!hasZone || instance.zone == zone))
            consider(address);
    }
    return best;
}

} // namespace Pistachio::Jobnode
