// Asks the advice service which minions may run a step.

#include "jobs/advicelimit.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/minionchoice.h"
#include "jobs/schedulerports.h"

#include <jobs.pb.h>

#include <algorithm>
#include <tuple>

namespace Pistachio::Jobs
{

using Logging::LogLevel;

namespace
{
constexpr Duration adviceRetryDelay = 300ms;
} // namespace

TimePoint JobScheduler::ticketNeededUntil(const Wire::JobQueue &queue) const
{
    return now_.time + ticketMargin_.current(std::chrono::milliseconds(queue.ticket_validity_ms()));
}

/// Requests advice for the steps that depend on a fully assigned one, so that they don't have to wait for it.
void JobScheduler::prefetchAdvice(const Job &job, const StepName &name)
{
    const auto *queue = store_.queue(job.submission().queue());
    if (!queue || !queue->needs_advice()
        || expectedRunTime(job, name) > std::chrono::milliseconds(queue->ticket_validity_ms()))
        return;
    for (std::uint32_t number = name.step + 1; number < job.stepsPerOccurrence(); ++number) {
        const auto &needed = job.spec(number).depends_on();
        const bool isNext = std::find(needed.begin(), needed.end(), name.step) != needed.end();
        if (isNext)
            askAdvice({job.id(), name.occurrence, number}, job);
    }
}

bool JobScheduler::askAdvice(const StepName &name, const Job &job)
{
    const auto requirements = requirementsOf(job, name);
    if (!requirements || !requirements->queue.needs_advice() || ports_.idleAdviceClients() == 0)
        return false;
    const auto &known = advice_.adviceFor(name);
    if (!known.requestedMinions.empty() || now_.time < known.failedAt + adviceRetryDelay)
        return false;
    const auto ticketsUntil = ticketNeededUntil(requirements->queue);
    // Minions with enough free capacity first; among them, those fast enough for the step, then those already approved.
    const MinionChoice choice(needsOf(*requirements, name), now_.time, {});
    std::vector<std::tuple<bool, long, bool, std::int64_t, std::string_view>> candidates;
    // The minions and what is known of them are in the same order.
    auto ticket = known.approved.begin();
    auto denied = known.denied.begin();
    for (const auto *minion : fleet_.minionsOf(requirements->queue.service())) {
        const auto &id = minion->report.incarnation.id;
        while (ticket != known.approved.end() && ticket->minionId < id)
            ++ticket;
        while (denied != known.denied.end() && *denied < id)
            ++denied;
        const bool isApproved = ticket != known.approved.end() && ticket->minionId == id;
        const bool isDenied = denied != known.denied.end() && *denied == id;
        if (isDenied || (isApproved && ticket->validUntil >= ticketsUntil)
            || !isUsable(*minion, requirements->step.long_running()) || !isEligible(*minion, *requirements))
            continue;
        const bool hasRoom = fits(*minion, *requirements, name, Room::Now) && hasIdleCores(*minion, requirements->step);
        candidates.emplace_back(!hasRoom, choice.adviceRank(*minion), !isApproved, -minion->freeCapacity().milliCores,
                                id);
    }
    const auto count = std::min(settings_.advisedMinions, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end());
    AdviceRequest request;
    request.step = name;
    for (std::size_t number = 0; number < count; ++number)
        request.minions.emplace_back(std::get<std::string_view>(candidates[number]));
    if (request.minions.empty())
        return false;
    request.limit = adviceLimit(requirements->queue, request.minions.size());
    advice_.recordRequest(request);
    ports_.askAdvice(request);
    return true;
}

void JobScheduler::adviceAnswered(const EventTime &now, const AdviceRequest &request, bool answered,
                                  const std::vector<ApprovedMinion> &approved)
{
    now_ = now;
    if (!leading_)
        return;
    planNeeded_ = true;
    const auto *job = store_.job(request.step.job);
    const auto *queue = job ? store_.queue(job->submission().queue()) : nullptr;
    if (!answered || !queue) {
        advice_.recordFailure(now.time, request.step);
        ports_.logDecision(LogLevel::Info, "advice-failed",
                           {{"step", request.step.toString()}, {"minions", request.minions.size()}});
        return;
    }
    advice_.recordAnswer(now.time, std::chrono::milliseconds(queue->ticket_validity_ms()), request.step, approved,
                         fleet_);
    ports_.logDecision(
        LogLevel::Debug, "advice",
        {{"step", request.step.toString()}, {"asked", request.minions.size()}, {"approved", approved.size()}});
}

} // namespace Pistachio::Jobs
