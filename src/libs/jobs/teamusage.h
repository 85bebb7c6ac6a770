#pragma once

#include "core/quotaledger.h"
#include "core/time.h"
#include "jobs/minion.h"
#include "jobs/taskname.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Pistachio::Wire
{
class JobTeam;
}

namespace Pistachio::Jobs
{

class Job;

/// The number of a team in this process. Numbers are small and are never reused.
using TeamNumber = std::uint32_t;
constexpr TeamNumber noTeam = 0; ///< of work without a team, which has no cap and no share

/// Tracks what each team holds on all minions, by run, against its cap.
///
/// Serves a load of many teams that compete for insufficient capacity: a team at its cap gets nothing more, whatever
/// else is free. A run counts from its proposed assignment until its end is known. A run that is counted twice, or
/// whose end is told of twice, changes nothing.
class TeamUsage
{
public:
    /// \param teams all teams as last configured, also removed ones
    void configure(const std::map<std::string, Wire::JobTeam> &teams);

    /// \param team its name; empty for none
    /// \return its number.
    TeamNumber numberOf(const std::string &team);

    /// Counts a run.
    /// \param job the job of \p task
    /// \param service whose minions run it
    void add(const Job &job, const TaskName &task, std::uint64_t run, const std::string &service);
    void remove(const TaskName &task, std::uint64_t run);
    /// Forgets the runs of a job that is not known any more.
    void removeJob(const std::string &job);
    /// Forgets all runs; the teams stay.
    void clear();

    /// Forgets runs that nobody accounts for, as their minion is gone and the store doesn't have them assigned.
    /// \param after how long nobody has accounted for them: until no lease can last
    /// \param isAccounted whether the run is assigned in the store or known at a minion
    void removeUnaccounted(TimePoint now, Duration after,
                           const std::function<bool(const TaskName &task, std::uint64_t run)> &isAccounted);

    /// \return whether the team may hold \p amounts more.
    [[nodiscard]] bool allows(TeamNumber team, const ResourceAmounts &amounts) const;
    /// \param demand of one task
    /// \return how many of \p tasks tasks the team may start.
    [[nodiscard]] std::uint32_t allowedTasks(TeamNumber team, const ResourceAmounts &demand, std::uint32_t tasks) const;
    /// \return for how many of \p tasks tasks capacity may be reserved, beside what is reserved for the team already.
    [[nodiscard]] std::uint32_t reservableTasks(TeamNumber team, const ResourceAmounts &demand,
                                                std::uint32_t tasks) const;
    /// \return whether all tasks fit under the cap at a time when the team holds nothing else.
    [[nodiscard]] bool canEverHold(TeamNumber team, const ResourceAmounts &demand, std::uint32_t tasks) const;
    /// \return whether the team holds more than its cap.
    [[nodiscard]] bool isOverCap(TeamNumber team) const { return !allows(team, {}); }

    /// \return the amounts \p count times.
    [[nodiscard]] static ResourceAmounts times(const ResourceAmounts &amounts, std::int64_t count);

    /// Counts capacity that is kept free for a waiting step against what later steps of the team may reserve.
    void reserve(TeamNumber team, const ResourceAmounts &demand, std::uint32_t tasks);
    void clearReservations() { reserved_.clear(); }

    /// \return what the team holds on all minions.
    [[nodiscard]] ResourceAmounts held(TeamNumber team) const { return ledger_.used(team); }
    /// \return what each team holds on the minions of a service; teams of higher numbers hold nothing there.
    [[nodiscard]] const std::vector<ResourceAmounts> &heldIn(const std::string &service) const;
    /// \return the number of runs that the team holds.
    [[nodiscard]] std::size_t runs(TeamNumber team) const;
    /// \return by number how many jobs of each team have runs.
    [[nodiscard]] std::vector<std::size_t> runningJobs() const;
    /// \return the cap, or null. A resource without a limit has the highest value.
    [[nodiscard]] const ResourceAmounts *cap(TeamNumber team) const { return ledger_.limit(team); }
    /// \return the weight; 0 for a team that was never configured.
    [[nodiscard]] double weight(TeamNumber team) const { return team < weights_.size() ? weights_[team] : 0; }
    [[nodiscard]] const std::string &name(TeamNumber team) const { return names_[team]; }
    /// \return one more than the highest number of a team; 1 if there is none.
    [[nodiscard]] std::size_t teamCount() const { return names_.size(); }
    /// \return whether a team is configured, or was.
    [[nodiscard]] bool hasTeams() const { return !weights_.empty(); }
    [[nodiscard]] bool hasRuns() const { return !runs_.empty(); }

private:
    struct HeldRun {
        TeamNumber team = noTeam;
        std::string service;
        ResourceAmounts amounts;
        TimePoint unaccountedSince{}; ///< zero: accounted for when last looked at
    };
    using Runs = std::map<std::pair<TaskName, std::uint64_t>, HeldRun>;

    Runs::iterator erase(Runs::iterator run);

    std::vector<std::string> names_{std::string()}; ///< by number
    std::unordered_map<std::string, TeamNumber> numbers_;
    std::vector<double> weights_; ///< by number
    QuotaLedger<TeamNumber, ResourceAmounts> ledger_;
    std::unordered_map<std::string, std::vector<ResourceAmounts>> heldIn_; ///< by service, then by number
    std::vector<std::size_t> runCounts_; ///< by number
    std::unordered_map<TeamNumber, ResourceAmounts> reserved_; ///< in the current round
    Runs runs_;
};

} // namespace Pistachio::Jobs
