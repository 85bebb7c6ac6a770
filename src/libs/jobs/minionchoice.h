#pragma once

#include "core/time.h"
#include "jobs/minion.h"

#include <cstddef>
#include <span>

namespace Pistachio::Wire
{
class JobStep;
}

namespace Pistachio::Jobs
{

/// What a waiting step needs, and what its job can lose.
struct StepNeeds {
    const Wire::JobStep &step;
    ResourceAmounts demand; ///< of a task
    Duration usual{}; ///< expected run time of a task on a minion of speed 1; zero if unknown or without end
    Duration slack{}; ///< until the step has to start on a minion of speed 1 to end in time
    std::size_t tasks = 0; ///< that wait
};

/// Ranks the minions for a task of a step by when the step would end there and what its job still earns then.
///
/// For fleets on which the slowest minion determines when a wide step ends. Steps short of slack get fast minions, and
/// so do wide steps that a straggler on a slow minion would make late. Steps that leave slack even on a slow minion get
/// slow ones, so that the fast ones are free for the others. Otherwise the fullest minion is chosen, which keeps whole
/// minions free for large tasks. Minions of one speed a kind are ranked by
/// room and kind alone.
class MinionChoice
{
public:
    /// \param minions the minions that may run tasks of the step now
    MinionChoice(const StepNeeds &needs, TimePoint now, std::span<Minion *const> minions);

    /// \param minion a minion that the task fits on
    /// \return a score; the best minion has the lowest.
    [[nodiscard]] double score(const Minion &minion) const;

    /// \return the place of a minion among those to ask the advice service for; lower ones are asked for first.
    [[nodiscard]] long adviceRank(const Minion &minion) const;

    /// \return whether the step gains by a faster minion.
    [[nodiscard]] bool gainsBySpeed(const Minion &minion) const { return differenceWeight(minion) > 0; }

private:
    [[nodiscard]] Duration slackOn(double slowness) const;
    [[nodiscard]] bool isShortOfSlack(const Minion &minion) const;
    /// \return the weight of a minion's difference from its kind; above 0 if a fast minion is better.
    [[nodiscard]] double differenceWeight(const Minion &minion) const;
    /// \return the number of tasks of the step that fit on the minion now.
    [[nodiscard]] std::size_t placesOn(const Minion &minion) const;
    /// \return the slowness of the slowest minion that the step needs, if the step is late there; else 0.
    [[nodiscard]] double unavoidableSlowness(std::span<Minion *const> minions) const;

    StepNeeds needs_;
    TimePoint now_;
    double bound_ = 0; ///< a faster minion doesn't end the step sooner
};

} // namespace Pistachio::Jobs
