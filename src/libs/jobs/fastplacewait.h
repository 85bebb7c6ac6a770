#pragma once

#include "core/time.h"

#include <set>
#include <span>

namespace Pistachio::Jobs
{

class CapacityReservations;
struct Minion;
struct StepNeeds;

/// Decides whether a task waits for a faster minion that is busy instead of starting on a slow one that is free.
///
/// For fleets whose fast minions are nearly full of tasks with slack, while short steps arrive all the time: the next
/// end on a fast minion is often nearer than what the slow one takes longer. Other work may use the slow minion at
/// once, and what becomes free on the fast one. Minions that are as fast as their kind are not waited for, so fleets of
/// one speed a kind are served without a wait.
class FastPlaceWait
{
public:
    /// Forgets which minions tasks wait for.
    void beginRound() { awaited_.clear(); }

    /// \param best the minion that the task would start on now
    /// \param candidates the minions that may run the task, busy ones too
    /// \param waited since the step could start
    /// \return a minion where the task is expected to end sooner and that no other task of this round waits for, or
    /// null.
    const Minion *betterMinion(const StepNeeds &needs, const Minion &best, std::span<Minion *const> candidates,
                               CapacityReservations &reservations, TimePoint now, Duration waited);

private:
    std::set<const Minion *> awaited_;
};

} // namespace Pistachio::Jobs
