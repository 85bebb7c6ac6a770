#include "jobs/teamstate.h"

#include "jobs/teamrates.h"
#include "jobs/teamusage.h"
#include "jobs/workqueue.h"

#include <algorithm>
#include <limits>

namespace Pistachio::Jobs
{

namespace
{

std::int64_t shownLimit(std::int64_t limit)
{
    return limit == std::numeric_limits<std::int64_t>::max() ? -1 : limit;
}

ResourceAmounts shownCap(const ResourceAmounts *cap)
{
    if (!cap)
        return {-1, -1, -1};
    return {shownLimit(cap->milliCores), shownLimit(cap->memoryMb), shownLimit(cap->accelerators)};
}

void addWaits(std::vector<TeamState> &states, const WorkQueue &queue, TimePoint now)
{
    const std::string *lastJob = nullptr;
    for (const auto &[name, step] : queue.steps()) {
        auto &state = states[step.owner.team];
        state.waitingJobs += lastJob && *lastJob == name.job ? 0 : 1;
        state.oldestWait = std::max(state.oldestWait, now - step.readySince);
        lastJob = &name.job;
    }
}

void addShares(std::vector<TeamState> &states, const TeamUsage &usage)
{
    double weights = 0;
    const auto hasWork = [](const TeamState &state) { return state.waitingJobs > 0 || state.runs > 0; };
    for (TeamNumber team = noTeam + 1; team < states.size(); ++team)
        weights += hasWork(states[team]) ? usage.weight(team) : 0;
    for (TeamNumber team = noTeam + 1; team < states.size() && weights > 0; ++team)
        states[team].share = hasWork(states[team]) ? usage.weight(team) / weights : 0;
}

void merge(TeamState &sum, const TeamState &state)
{
    sum.waitingJobs += state.waitingJobs;
    sum.runningJobs += state.runningJobs;
    sum.runs += state.runs;
    sum.refused += state.refused;
    sum.share += state.share;
    sum.held += state.held;
    sum.oldestWait = std::max(sum.oldestWait, state.oldestWait);
}

} // namespace

std::vector<TeamState> teamStates(const TeamUsage &usage, const WorkQueue &queue, const TeamRates &rates, TimePoint now,
                                  std::size_t named)
{
    if (!usage.hasTeams())
        return {};
    std::vector<TeamState> states(usage.teamCount());
    const auto runningJobs = usage.runningJobs();
    for (TeamNumber team = noTeam + 1; team < states.size(); ++team) {
        auto &state = states[team];
        state.name = usage.name(team);
        state.runningJobs = runningJobs[team];
        state.runs = usage.runs(team);
        state.held = usage.held(team);
        state.cap = shownCap(usage.cap(team));
        const auto refused = rates.refused().find(state.name);
        state.refused = refused == rates.refused().end() ? 0 : refused->second;
    }
    addWaits(states, queue, now);
    addShares(states, usage);
    // The first one is of work without a team.
    states.erase(states.begin());
    if (states.size() <= named)
        return states;
    TeamState others;
    others.name = "(others)";
    others.cap = shownCap(nullptr);
    for (auto state = states.begin() + static_cast<std::ptrdiff_t>(named); state != states.end(); ++state)
        merge(others, *state);
    states.resize(named);
    states.push_back(others);
    return states;
}

} // namespace Pistachio::Jobs
