#pragma once

#include "core/time.h"
#include "jobs/teamusage.h"
#include "jobs/workqueue.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Pistachio::Jobs
{

/// Orders the waiting steps of a service, and protects the share of each team while capacity is insufficient.
///
/// Intended load: some teams ask for more than their share while others don't. While a service has a backlog, steps of
/// teams that hold less than their share come first (weighted dominant resource fairness). What a team holds is its
/// largest fraction of the service's capacity over all resources. Its share is its weight, divided by the weights of
/// all teams with work, of the same fraction for all teams together.
class TeamOrder
{
public:
    using Entry = std::pair<const StepName, WaitingStep>;

    /// \param usage what the teams hold; must outlive this object
    explicit TeamOrder(const TeamUsage &usage)
        : usage_(usage)
    {
    }

    /// Sorts the waiting steps of a service into the order in which they are placed: long-running, useful, useful but
    /// beyond the team's rate, useless. Within each class those of teams under their share come first if the service
    /// has a backlog, then those whose job loses worth first: at its latest start, or if it is late, at its latest
    /// useful start. A late step so comes before one that can wait for longer, and isn't passed until its job is
    /// useless. \param capacity of all minions of the service
    void sort(std::vector<const Entry *> &steps, TimePoint now, const std::string &service,
              const ResourceAmounts &capacity);

    /// What a round left waiting.
    struct RoundResult {
        bool hasBacklog = false; ///< steps for which there was no room
        bool hasLateOwed = false; ///< among them late ones that came within their team's rate
    };
    /// \param left what was found
    /// \param isWhole whether the round looked at all steps
    void recordRound(const std::string &service, const RoundResult &left, bool isWhole);

    /// \return what the last rounds of the service left.
    [[nodiscard]] RoundResult lastRound(const std::string &service) const;
    /// \return whether the team held more than its share of the service that sort() was last called for.
    [[nodiscard]] bool isOverShare(TeamNumber team) const { return team < overShare_.size() && overShare_[team]; }
    /// Forgets the backlogs.
    void clear();

    /// \return the share of the resource of which \p held is the largest one.
    [[nodiscard]] static double dominantShare(const ResourceAmounts &held, const ResourceAmounts &capacity);

    /// \return whether a step is late but still useful.
    [[nodiscard]] static bool isLate(const WaitingStep &step, TimePoint now);

private:
    /// \return by number whether a team holds more than its share; empty if nothing is split.
    [[nodiscard]] std::vector<bool> teamsOverShare(const std::vector<const Entry *> &steps, const std::string &service,
                                                   const ResourceAmounts &capacity) const;

    const TeamUsage &usage_;
    std::map<std::string, RoundResult> rounds_; ///< by service
    std::vector<bool> overShare_; ///< of the service that was sorted last, by number of the team
};

} // namespace Pistachio::Jobs
