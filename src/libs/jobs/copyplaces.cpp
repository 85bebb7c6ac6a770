// Where second copies of tasks may run, and their assignment.

#include "jobs/demand.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Jobs
{

std::vector<Minion *> JobScheduler::copyPlaces(const Job &job, const StepName &step)
{
    const auto requirements = requirementsOf(job, step);
    // A copy that starts now of a step whose job is useless by then gains nothing.
    if (!requirements || now_.time > deadlinesOf(job, requirements->queue, step).latestUsefulStart)
        return {};
    auto places = eligibleMinions(step, *requirements, Tickets::Valid, Room::Now);
    std::erase_if(places, [&](const Minion *minion) { return !reservations_.allows(*minion, requirements->demand); });
    return places;
}

void JobScheduler::requestCopyTickets(const Job &job, const StepName &step, Duration limit)
{
    const auto requirements = requirementsOf(job, step);
    if (!requirements || !requirements->queue.needs_advice())
        return;
    const auto &queue = requirements->queue;
    const double adviceMs
        = queue.advice_base_ms() + queue.advice_per_minion_ms() * static_cast<double>(settings_.advisedMinions);
    if (adviceMs < std::chrono::duration<double, std::milli>(limit).count())
        askAdvice(step, job);
}

double JobScheduler::slownessOf(const Minion &minion) const
{
    return minion.speed.slowness;
}

/// What a cap leaves belongs to the team's waiting steps before its copies.
bool JobScheduler::mayTeamHold(const Job &job, const ResourceAmounts &amounts)
{
    const auto team = teamUsage_.numberOf(job.submission().team());
    if (teamUsage_.reservableTasks(team, amounts, 1) == 0)
        return false;
    return !teamUsage_.cap(team) || std::none_of(queue_.steps().begin(), queue_.steps().end(), [&](const auto &entry) {
        const auto &waiting = entry.second;
        return waiting.owner.team == team && isHeldByCap(waiting)
            && teamUsage_.canEverHold(team, waiting.demand, waiting.together);
    });
}

void JobScheduler::assignCopy(const Job &job, const TaskName &task, Minion &minion)
{
    Wire::JobCommand command;
    // The next number is left to a run that may be assigned, if the first one ends, before this one is stored or
    // dropped.
    place(job, task, job.task(task)->lastRun + 2, minion, command);
    command.mutable_assignments(0)->set_is_copy(true);
    ports_.propose(std::move(command), {});
}

} // namespace Pistachio::Jobs
