#include "jobs/teamorder.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace Pistachio::Jobs
{

namespace
{

/// The classes of steps, in the order in which they are placed.
enum class StepClass : std::uint8_t { LongRunning, Owed, BeyondRate, Useless };

struct SortKey {
    StepClass stepClass = StepClass::LongRunning;
    bool isOverShare = false;
    TimePoint deadline{};
    const TeamOrder::Entry *entry = nullptr;
};

StepClass classOf(const WaitingStep &step, TimePoint now)
{
    if (step.isLongRunning)
        return StepClass::LongRunning;
    if (now <= step.deadlines.latestUsefulStart)
        return step.owner.isBeyondRate ? StepClass::BeyondRate : StepClass::Owed;
    return StepClass::Useless;
}

bool isOnTime(const WaitingStep &step, TimePoint now)
{
    return now <= step.deadlines.latestStart;
}

/// \return the next time at which the step's job loses worth if it hasn't started.
TimePoint nextDeadline(const WaitingStep &step, TimePoint now)
{
    return isOnTime(step, now) ? step.deadlines.latestStart : step.deadlines.latestUsefulStart;
}

double share(std::int64_t held, std::int64_t capacity)
{
    return capacity > 0 ? static_cast<double>(held) / static_cast<double>(capacity) : 0;
}

} // namespace

double TeamOrder::dominantShare(const ResourceAmounts &held, const ResourceAmounts &capacity)
{
    return std::max({share(held.milliCores, capacity.milliCores), share(held.memoryMb, capacity.memoryMb),
                     share(held.accelerators, capacity.accelerators)});
}

void TeamOrder::sort(std::vector<const Entry *> &steps, TimePoint now, const std::string &service,
                     const ResourceAmounts &capacity)
{
    overShare_ = teamsOverShare(steps, service, capacity);
    std::vector<SortKey> keys;
    keys.reserve(steps.size());
    for (const auto *entry : steps) {
        const auto &step = entry->second;
        const auto stepClass = classOf(step, now);
        // Long-running steps and urgent ones that are on time keep their place.
        const bool keepsPlace = stepClass == StepClass::LongRunning
            || (stepClass == StepClass::Owed && step.owner.isUrgent && isOnTime(step, now));
        keys.push_back({stepClass, !keepsPlace && isOverShare(step.owner.team), nextDeadline(step, now), entry});
    }
    std::stable_sort(keys.begin(), keys.end(), [](const SortKey &left, const SortKey &right) {
        return std::tie(left.stepClass, left.isOverShare, left.deadline)
            < std::tie(right.stepClass, right.isOverShare, right.deadline);
    });
    std::transform(keys.begin(), keys.end(), steps.begin(), [](const SortKey &key) { return key.entry; });
}

std::vector<bool> TeamOrder::teamsOverShare(const std::vector<const Entry *> &steps, const std::string &service,
                                            const ResourceAmounts &capacity) const
{
    if (!usage_.hasTeams() || !lastRound(service).hasBacklog)
        return {};
    const auto &held = usage_.heldIn(service);
    std::vector<bool> hasWork(usage_.teamCount());
    for (const auto *entry : steps)
        hasWork[entry->second.owner.team] = true;
    ResourceAmounts heldByAll;
    double weights = 0;
    for (TeamNumber team = noTeam + 1; team < hasWork.size(); ++team) {
        const auto amounts = team < held.size() ? held[team] : ResourceAmounts();
        heldByAll += amounts;
        if (hasWork[team] || amounts != ResourceAmounts())
            weights += usage_.weight(team);
    }
    if (weights <= 0)
        return {};
    const auto split = dominantShare(heldByAll, capacity);
    std::vector<bool> result(hasWork.size());
    for (TeamNumber team = noTeam + 1; team < std::min(hasWork.size(), held.size()); ++team)
        result[team] = dominantShare(held[team], capacity) > split * usage_.weight(team) / weights;
    return result;
}

void TeamOrder::recordRound(const std::string &service, const RoundResult &left, bool isWhole)
{
    auto &known = rounds_[service];
    known.hasBacklog = left.hasBacklog || (!isWhole && known.hasBacklog);
    known.hasLateOwed = left.hasLateOwed || (!isWhole && known.hasLateOwed);
}

TeamOrder::RoundResult TeamOrder::lastRound(const std::string &service) const
{
    const auto found = rounds_.find(service);
    return found == rounds_.end() ? RoundResult() : found->second;
}

void TeamOrder::clear()
{
    rounds_.clear();
    overShare_.clear();
}

bool TeamOrder::isLate(const WaitingStep &step, TimePoint now)
{
    return !step.isLongRunning && !isOnTime(step, now) && now <= step.deadlines.latestUsefulStart;
}

} // namespace Pistachio::Jobs
