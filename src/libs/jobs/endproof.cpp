#include "jobs/endproof.h"

#include "jobs/minion.h"

#include <algorithm>

namespace Pistachio::Jobs
{

namespace
{
constexpr std::string_view listedName = "listed";
} // namespace

EndProof EndProof::listed()
{
    return EndProof(listedName);
}

bool EndProof::isListed() const
{
    return name_ == listedName;
}

std::optional<EndProof> EndProof::stopped(const TaskName &task, const Run &run, const LeaseAnswer &answer,
                                          TimePoint asked, Duration stopTimeout)
{
    const bool isConfirmed = run.phase == RunPhase::Stopping && run.stopConfirmed && asked > run.phaseSince;
    if (!isConfirmed || answer.hasMoreEnds || isListedActive(task, run, answer))
        return std::nullopt;
    const bool isComplete = answer.isActiveComplete && answer.areEndsComplete;
    if (!isComplete && asked <= run.phaseSince + stopTimeout)
        return std::nullopt;
    return EndProof("stopped");
}

std::optional<EndProof> EndProof::leaseOver(const Minion &minion, const Run &run, TimePoint now)
{
    return leaseOver(minion.leaseEndOf(run), now);
}

std::optional<EndProof> EndProof::leaseOver(TimePoint end, TimePoint now)
{
    return now >= end ? std::optional(EndProof("lease over")) : std::nullopt;
}

std::optional<EndProof> EndProof::neverOrdered(const Run &run)
{
    const bool isOrdered = run.attempts > 0 || run.phase == RunPhase::Adopted || run.isOfEarlierIncarnation;
    return isOrdered ? std::nullopt : std::optional(EndProof("never ordered"));
}

std::optional<EndProof> EndProof::refused(const Run &run)
{
    return run.attempts <= 1 ? std::optional(EndProof("refused")) : std::nullopt;
}

bool isListedActive(const TaskName &task, const Run &run, const LeaseAnswer &answer)
{
    return std::any_of(answer.active.begin(), answer.active.end(),
                       [&](const ActiveRun &active) { return active.run == run.run && active.task == task; });
}

bool isAbsent(const TaskName &task, const Run &run, const LeaseAnswer &answer)
{
    const auto isEnd = [&](const EndedRun &ended) { return ended.run == run.run && ended.task == task; };
    return answer.isActiveComplete && answer.areEndsComplete && !answer.hasMoreEnds
        && !isListedActive(task, run, answer) && std::none_of(answer.ended.begin(), answer.ended.end(), isEnd);
}

} // namespace Pistachio::Jobs
