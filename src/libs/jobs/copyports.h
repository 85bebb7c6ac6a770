#pragma once

#include "core/time.h"

#include <string_view>
#include <vector>

namespace Pistachio::Jobs
{

class Job;
struct Minion;
struct ResourceAmounts;
struct StepName;
struct TaskName;
struct WaitingStep;

/// What the planner of copies needs from the scheduler.
class CopyPorts
{
public:
    CopyPorts() = default;
    CopyPorts(const CopyPorts &) = delete;
    CopyPorts &operator=(const CopyPorts &) = delete;
    virtual ~CopyPorts() = default;

    /// \return the minions on which a task of the step fits and may start now, with a valid ticket if it needs one;
    /// none if the job's result would be useless by its end.
    [[nodiscard]] virtual std::vector<Minion *> copyPlaces(const Job &job, const StepName &step) = 0;
    /// Asks for tickets for the step if they can be had within \p limit.
    virtual void requestCopyTickets(const Job &job, const StepName &step, Duration limit) = 0;
    /// \return run times on the minion relative to those on a minion of usual speed.
    [[nodiscard]] virtual double slownessOf(const Minion &minion) const = 0;
    /// \return whether the job's team may hold the amounts in addition to what it holds.
    [[nodiscard]] virtual bool mayTeamHold(const Job &job, const ResourceAmounts &amounts) = 0;
    /// \return whether a waiting step doesn't start because of its team's cap, however much room there is.
    [[nodiscard]] virtual bool isHeldByCap(const WaitingStep &waiting) const = 0;
    /// Reserves the minion and proposes the assignment of a copy.
    virtual void assignCopy(const Job &job, const TaskName &task, Minion &minion) = 0;
};

} // namespace Pistachio::Jobs
