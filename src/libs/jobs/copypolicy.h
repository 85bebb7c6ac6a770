#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace Pistachio::Jobs
{

/// Decides whether a running task gets a second run on another minion, from how far it is behind its model.
///
/// Addresses stragglers: in steps of about ten short tasks, a few percent of the tasks take several times as long as
/// the others, and the step and its job wait for them. A step that is slow as a whole, a slow minion that ends its task
/// before a copy would, and work that has waited long for its start get no copies.
class CopyPolicy
{
public:
    /// Assignment, commit, start and the answer to it, as the time from a decision to the start of the copy's work.
    static constexpr Duration copyCost = 150ms;

    /// What is known of a running task.
    struct RunningTask {
        Duration elapsed{}; ///< since its start was confirmed
        Duration expected{}; ///< predicted run time on a minion of usual speed; zero: not known
        double slowness = 1; ///< run times on its minion relative to those on a minion of usual speed
        std::optional<Duration> total; ///< run time that its progress shows, if it has reported some
    };

    /// What is known of the other tasks of its step.
    struct Siblings {
        std::span<const Duration> totals; ///< run times of those that are done, and what the progress of others shows
        Duration longestDone{}; ///< zero: none is done
    };

    /// Why a task is copied, for the log.
    struct Reason {
        Duration typical{}; ///< run time that tasks of the step have
        Duration remaining{}; ///< of the running one
        Duration copyTime{}; ///< expected run time of the copy

        /// \return by how much the copy is expected to end earlier.
        [[nodiscard]] Duration gain() const { return remaining - copyTime - copyCost; }
    };

    /// \return the typical run time of the step's tasks: the median of the siblings if there are enough, else the
    /// prediction; zero if nothing is known.
    [[nodiscard]] static Duration typicalTime(Duration expected, const Siblings &siblings);

    /// \param percent completed share of the work
    /// \param reportedAfter from the start to the report
    /// \param pace time for the whole work at the speed between the last two reports, if it is known
    /// \return the run time that progress shows, or nothing if too little was reported.
    [[nodiscard]] static std::optional<Duration> totalOf(std::uint32_t percent, Duration reportedAfter,
                                                         std::optional<Duration> pace);

    /// \param copySlowness run times where the copy would run relative to those on a minion of usual speed
    /// \return the reason for a copy, or nothing if the task gets none.
    [[nodiscard]] static std::optional<Reason> decide(const RunningTask &task, const Siblings &siblings,
                                                      double copySlowness);

    /// \param usedBudget share of the budget that is used with the copy
    /// \return whether the gain is worth that part of the budget. What is left of it is kept for larger gains, so that
    /// many tasks that are a little late, as on slow minions, don't use up what stragglers need.
    [[nodiscard]] static bool isWorth(const Reason &reason, double usedBudget);
};

} // namespace Pistachio::Jobs
