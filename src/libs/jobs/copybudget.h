#pragma once

#include "core/time.h"

namespace Pistachio::Jobs
{

struct ResourceAmounts;

/// Bounds the work of copies by a share of the work that was done lately, so that a wrong model of run times or a
/// general slowdown can't fill the minions with copies.
class CopyBudget
{
public:
    /// Records the work of a run that completed a task.
    void addWork(TimePoint now, double coreSeconds);
    /// Charges a copy. A negative amount gives back what it didn't use.
    void charge(TimePoint now, double coreSeconds);
    /// \return the share of the budget that is used with a copy of this size; above 1, the copy may not start.
    [[nodiscard]] double usedWith(TimePoint now, double coreSeconds);
    void clear() { *this = CopyBudget(); }

    /// \return the work of a run; an accelerator counts as several cores.
    [[nodiscard]] static double coreSeconds(const ResourceAmounts &amounts, Duration time);

private:
    void decay(TimePoint now);

    double work_ = 0; ///< core seconds; decays
    double charged_ = 0; ///< core seconds; decays
    TimePoint decayedAt_{};
};

} // namespace Pistachio::Jobs
