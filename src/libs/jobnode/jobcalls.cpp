#include "jobnode/jobcalls.h"

#include "jobnode/jobgroup.h"
#include "jobs/jobscheduler.h"
#include "jobs/jobstore.h"
#include "jobs/jobvalidation.h"
#include "jobs/teamdirectory.h"
#include "storage/replicatedgroup.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{

constexpr std::size_t idLength = 16;

bool isJobId(std::string_view text)
{
    return text.size() == idLength && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
           });
}

Wire::JobReply reply(Wire::JobVerdict verdict, std::string reason = {})
{
    Wire::JobReply result;
    result.set_verdict(verdict);
    result.set_reason(std::move(reason));
    return result;
}

Wire::JobState toWire(const Jobs::Job &job, bool hasBegun)
{
    switch (job.phase()) {
    case Jobs::JobPhase::Active:
        return hasBegun ? Wire::JOB_STATE_RUNNING : Wire::JOB_STATE_QUEUED;
    case Jobs::JobPhase::Completed:
        return Wire::JOB_STATE_COMPLETED;
    case Jobs::JobPhase::Failed:
        return Wire::JOB_STATE_FAILED;
    case Jobs::JobPhase::Cancelled:
        return Wire::JOB_STATE_CANCELLED;
    }
    return Wire::JOB_STATE_UNSPECIFIED;
}

} // namespace

JobCalls::JobCalls(const Jobs::JobStore &store, Jobs::JobScheduler &scheduler, JobGroup &group,
                   std::function<std::int64_t()> unixMs)
    : store_(store)
    , scheduler_(scheduler)
    , group_(group)
    , unixMs_(std::move(unixMs))
{
}

Wire::JobReply JobCalls::notLeader() const
{
    auto result = reply(Wire::JOB_VERDICT_NOT_LEADER);
    if (group_.replica().leaderHint() != group_.self())
        result.set_leader(group_.replica().leaderHint().value());
    return result;
}

void JobCalls::handle(TimePoint now, const Wire::JobCall &call, const Answered &answered)
{
    if (!group_.canAnswer(now)) {
        answered(notLeader());
        return;
    }
    answer(now, call, [answered, version = store_.configuration().version()](Wire::JobReply reply) {
        // A submission that was checked again names the version that it was checked against last.
        if (reply.configuration() == 0)
            reply.set_configuration(version);
        answered(reply);
    });
}

void JobCalls::answer(TimePoint now, const Wire::JobCall &call, const Answered &answered)
{
    if (store_.configuration().version() == 0) {
        refuse(call, reply(Wire::JOB_VERDICT_UNAVAILABLE, "no configuration is in force yet"), answered);
        return;
    }
    const auto *queue = store_.queueAt(call.host(), call.path());
    if (!queue) {
        const auto *held = call.cancel() ? jobAcceptedAt(call) : nullptr;
        if (held && visibleJob(call, held->id()))
            cancelWithoutQueue(now, call, held->id(), answered);
        else
            refuse(call, reply(Wire::JOB_VERDICT_NO_SUCH_QUEUE, "no queue at " + call.host() + call.path()), answered);
        return;
    }
    if (!store_.teamDirectory().admits(*queue, call.key())) {
        const auto *reason = call.key().empty() ? "no key was given" : "the key is not in force";
        refuse(call, reply(Wire::JOB_VERDICT_UNAUTHENTICATED, reason), answered);
        return;
    }
    const auto key = Jobs::JobStore::queueKey(*queue);
    // A submission is one to the queue in force; what is held already is found by its path.
    const auto *held = call.has_submission() ? nullptr : jobAcceptedAt(call);
    const auto id = held ? held->id() : call.path().substr(queue->path_prefix().size());
    if (!call.has_submission() && !call.cancel()) {
        read(call, key, id, answered);
        return;
    }
    if (!isJobId(id)) {
        refuse(call, reply(Wire::JOB_VERDICT_INVALID, "not a job id of 16 hexadecimal digits: '" + id + "'"), answered);
        return;
    }
    if (call.cancel())
        cancel(now, call, id, answered);
    else
        submit(now, call, key, id, answered);
}

void JobCalls::submit(TimePoint now, const Wire::JobCall &call, const std::string &queueKey, const std::string &id,
                      const Answered &answered)
{
    if (const auto valid = Jobs::checkJob(call.submission()); !valid) {
        refuse(call, reply(Wire::JOB_VERDICT_INVALID, valid.error().message), answered);
        return;
    }
    if (store_.job(id)) {
        if (visibleJob(call, id))
            answered(reply(Wire::JOB_VERDICT_ACCEPTED));
        else
            refuse(call, reply(Wire::JOB_VERDICT_INVALID, "the id is in use"), answered);
        return;
    }
    Wire::JobCommand command;
    auto &submission = *command.mutable_submission();
    submission.set_id(id);
    submission.set_queue(queueKey);
    *submission.mutable_spec() = call.submission();
    submission.set_accepted_unix_ms(unixMs_());
    submission.set_team(std::string(teamOf(call)));
    command.mutable_admission()->set_configuration(store_.configuration().version());
    if (call.key().size() <= Jobs::TeamDirectory::maxKeyBytes)
        command.mutable_admission()->set_key(call.key());
    if (const auto refusal = limitRate(now, submission)) {
        refuse(call, *refusal, answered);
        return;
    }
    propose(now, command, answered);
}

void JobCalls::cancel(TimePoint now, const Wire::JobCall &call, const std::string &id, const Answered &answered)
{
    if (!visibleJob(call, id)) {
        answered(reply(Wire::JOB_VERDICT_NO_SUCH_JOB));
        return;
    }
    Wire::JobCommand command;
    command.set_cancelled_job(id);
    propose(now, command, answered);
}

/// A job can be cancelled for as long as it is held. The reply denies the job, since no call succeeds at a path without
/// a queue.
void JobCalls::cancelWithoutQueue(TimePoint now, const Wire::JobCall &call, const std::string &id,
                                  const Answered &answered)
{
    cancel(now, call, id, [answered](Wire::JobReply cancelled) {
        if (cancelled.verdict() == Wire::JOB_VERDICT_ACCEPTED)
            cancelled.set_verdict(Wire::JOB_VERDICT_NO_SUCH_JOB);
        answered(std::move(cancelled));
    });
}

std::optional<Wire::JobReply> JobCalls::limitRate(TimePoint now, Wire::JobSubmission &submission)
{
    const auto admission = scheduler_.admit({now, submission.accepted_unix_ms()}, submission);
    submission.set_beyond_rate(admission.verdict == Jobs::TeamRates::Verdict::BeyondRate);
    if (admission.verdict != Jobs::TeamRates::Verdict::Refused)
        return std::nullopt;
    auto refusal = reply(Wire::JOB_VERDICT_RATE_LIMITED,
                         "beyond the team's rate while work that is owed to others or to it is late");
    refusal.set_retry_after_ms(admission.retryAfter / 1ms);
    return refusal;
}

/// A job that an earlier call has submitted runs, though its queue or key has been removed since. A refusal would tell
/// its caller that it doesn't.
void JobCalls::refuse(const Wire::JobCall &call, const Wire::JobReply &refusal, const Answered &answered) const
{
    if (call.has_submission() && mayHoldJobOf(call))
        answered(reply(Wire::JOB_VERDICT_UNKNOWN, "the job is held; this call was refused: " + refusal.reason()));
    else
        answered(refusal);
}

bool JobCalls::mayHoldJobOf(const Wire::JobCall &call) const
{
    const auto *job = jobAcceptedAt(call);
    return job && Jobs::TeamDirectory::mayOwn(job->submission().team(), teamOf(call));
}

const Jobs::Job *JobCalls::jobAcceptedAt(const Wire::JobCall &call) const
{
    const auto &path = call.path();
    if (path.size() < idLength)
        return nullptr;
    const auto idStart = path.size() - idLength;
    const auto *job = store_.job(path.substr(idStart));
    return job && job->submission().queue() == call.host() + path.substr(0, idStart) ? job : nullptr;
}

const Jobs::Job *JobCalls::visibleJob(const Wire::JobCall &call, const std::string &id) const
{
    const auto *job = store_.job(id);
    return job && Jobs::TeamDirectory::isVisible(job->submission().team(), teamOf(call)) ? job : nullptr;
}

std::string_view JobCalls::teamOf(const Wire::JobCall &call) const
{
    return store_.teamDirectory().teamOf(call.key());
}

void JobCalls::read(const Wire::JobCall &call, const std::string &queueKey, const std::string &id,
                    const Answered &answered) const
{
    auto result = reply(Wire::JOB_VERDICT_ACCEPTED);
    if (id.empty()) {
        result.set_is_queue(true);
        result.set_pending(scheduler_.pendingJobs(queueKey));
        answered(std::move(result));
        return;
    }
    const auto *job = visibleJob(call, id);
    if (!job) {
        answered(reply(Wire::JOB_VERDICT_NO_SUCH_JOB));
        return;
    }
    result.set_state(toWire(*job, scheduler_.hasBegun(*job)));
    answered(std::move(result));
}

void JobCalls::propose(TimePoint now, const Wire::JobCommand &command, const Answered &answered)
{
    group_.propose(now, command.SerializeAsString(), [this, answered](const Result<std::string> &result) {
        if (result) {
            Wire::JobReply decoded;
            if (!decoded.ParseFromString(result.value()))
                decoded = reply(Wire::JOB_VERDICT_UNKNOWN, "the answer can't be read");
            answered(std::move(decoded));
            return;
        }
        switch (result.error().code) {
        case ErrorCode::NotLeader:
            answered(notLeader());
            return;
        case ErrorCode::Unavailable:
            answered(reply(Wire::JOB_VERDICT_UNAVAILABLE, result.error().message));
            return;
        default:
            answered(reply(Wire::JOB_VERDICT_UNKNOWN, result.error().message));
        }
    });
}

} // namespace Pistachio::Jobnode
