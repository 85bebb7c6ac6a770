#include "jobs/teamusage.h"

#include "jobs/demand.h"
#include "jobs/job.h"

#include <jobs.pb.h>

#include <algorithm>
#include <limits>

namespace Pistachio::Jobs
{

namespace
{

std::int64_t limitOf(std::int64_t cap)
{
    return cap == 0 ? std::numeric_limits<std::int64_t>::max() : cap;
}

/// \return how often \p demand fits into \p room.
std::int64_t quotient(std::int64_t room, std::int64_t demand)
{
    return demand > 0 ? std::max<std::int64_t>(0, room / demand) : std::numeric_limits<std::int64_t>::max();
}

/// \return how many tasks fit into \p room; none if a resource is overdrawn, even one that the tasks don't need.
std::uint32_t tasksThatFit(const ResourceAmounts &room, const ResourceAmounts &demand, std::uint32_t tasks)
{
    if (room.milliCores < 0 || room.memoryMb < 0 || room.accelerators < 0)
        return 0;
    const auto count = std::min({quotient(room.milliCores, demand.milliCores), quotient(room.memoryMb, demand.memoryMb),
                                 quotient(room.accelerators, demand.accelerators)});
    return static_cast<std::uint32_t>(std::min<std::int64_t>(tasks, count));
}

} // namespace

void TeamUsage::configure(const std::map<std::string, Wire::JobTeam> &teams)
{
    std::unordered_map<TeamNumber, ResourceAmounts> limits;
    for (const auto &[name, team] : teams) {
        const auto number = numberOf(name);
        weights_.resize(std::max<std::size_t>(weights_.size(), number + 1));
        weights_[number] = team.weight();
        const auto &cap = team.cap();
        if (cap.milli_cores() != 0 || cap.memory_mb() != 0 || cap.accelerators() != 0)
            limits[number] = {limitOf(cap.milli_cores()), limitOf(cap.memory_mb()), limitOf(cap.accelerators())};
    }
    ledger_.setLimits(std::move(limits));
}

TeamNumber TeamUsage::numberOf(const std::string &team)
{
    if (team.empty())
        return noTeam;
    const auto [entry, isNew] = numbers_.try_emplace(team, static_cast<TeamNumber>(names_.size()));
    if (isNew)
        names_.push_back(team);
    return entry->second;
}

void TeamUsage::add(const Job &job, const TaskName &task, std::uint64_t run, const std::string &service)
{
    const auto team = numberOf(job.submission().team());
    if (team == noTeam)
        return;
    const auto [entry, isNew] = runs_.try_emplace({task, run});
    if (!isNew)
        return;
    const auto amounts = demandOf(job.spec(task.step.step));
    entry->second = {team, service, amounts, {}};
    ledger_.charge(team, amounts);
    auto &held = heldIn_[service];
    held.resize(std::max<std::size_t>(held.size(), team + 1));
    held[team] += amounts;
    runCounts_.resize(std::max<std::size_t>(runCounts_.size(), team + 1));
    ++runCounts_[team];
}

TeamUsage::Runs::iterator TeamUsage::erase(Runs::iterator run)
{
    const auto &held = run->second;
    ledger_.refund(held.team, held.amounts);
    heldIn_[held.service][held.team] -= held.amounts;
    --runCounts_[held.team];
    return runs_.erase(run);
}

void TeamUsage::remove(const TaskName &task, std::uint64_t run)
{
    if (runs_.empty())
        return;
    const auto found = runs_.find({task, run});
    if (found != runs_.end())
        erase(found);
}

void TeamUsage::removeJob(const std::string &job)
{
    auto entry = runs_.lower_bound({{{job, 0, 0}, 0}, 0});
    while (entry != runs_.end() && entry->first.first.step.job == job)
        entry = erase(entry);
}

void TeamUsage::clear()
{
    runs_.clear();
    heldIn_.clear();
    runCounts_.clear();
    reserved_.clear();
    ledger_.clearUsed();
}

void TeamUsage::removeUnaccounted(TimePoint now, Duration after,
                                  const std::function<bool(const TaskName &task, std::uint64_t run)> &isAccounted)
{
    for (auto entry = runs_.begin(); entry != runs_.end();) {
        auto &since = entry->second.unaccountedSince;
        if (isAccounted(entry->first.first, entry->first.second))
            since = {};
        else if (since == TimePoint{})
            since = now;
        else if (now >= since + after) {
            entry = erase(entry);
            continue;
        }
        ++entry;
    }
}

bool TeamUsage::allows(TeamNumber team, const ResourceAmounts &amounts) const
{
    return team == noTeam || ledger_.allows(team, amounts);
}

std::uint32_t TeamUsage::allowedTasks(TeamNumber team, const ResourceAmounts &demand, std::uint32_t tasks) const
{
    const auto *limit = team == noTeam ? nullptr : ledger_.limit(team);
    if (!limit)
        return tasks;
    auto room = *limit;
    room -= ledger_.used(team);
    return tasksThatFit(room, demand, tasks);
}

std::uint32_t TeamUsage::reservableTasks(TeamNumber team, const ResourceAmounts &demand, std::uint32_t tasks) const
{
    const auto *limit = team == noTeam ? nullptr : ledger_.limit(team);
    if (!limit)
        return tasks;
    auto room = *limit;
    room -= ledger_.used(team);
    const auto reserved = reserved_.find(team);
    if (reserved != reserved_.end())
        room -= reserved->second;
    return tasksThatFit(room, demand, tasks);
}

bool TeamUsage::canEverHold(TeamNumber team, const ResourceAmounts &demand, std::uint32_t tasks) const
{
    const auto *limit = team == noTeam ? nullptr : ledger_.limit(team);
    return !limit || times(demand, tasks).fitsIn(*limit);
}

ResourceAmounts TeamUsage::times(const ResourceAmounts &amounts, std::int64_t count)
{
    return {amounts.milliCores * count, amounts.memoryMb * count, amounts.accelerators * count};
}

void TeamUsage::reserve(TeamNumber team, const ResourceAmounts &demand, std::uint32_t tasks)
{
    if (team != noTeam && ledger_.limit(team))
        reserved_[team] += times(demand, tasks);
}

const std::vector<ResourceAmounts> &TeamUsage::heldIn(const std::string &service) const
{
    static const std::vector<ResourceAmounts> none;
    const auto found = heldIn_.find(service);
    return found == heldIn_.end() ? none : found->second;
}

std::vector<std::size_t> TeamUsage::runningJobs() const
{
    std::vector<std::size_t> result(names_.size());
    const std::string *lastJob = nullptr;
    for (const auto &[key, held] : runs_) {
        const auto &job = key.first.step.job;
        result[held.team] += lastJob && *lastJob == job ? 0 : 1;
        lastJob = &job;
    }
    return result;
}

std::size_t TeamUsage::runs(TeamNumber team) const
{
    return team < runCounts_.size() ? runCounts_[team] : 0;
}

} // namespace Pistachio::Jobs
