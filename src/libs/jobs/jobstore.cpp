#include "jobs/jobstore.h"

#include "jobs/jobstoreobserver.h"
#include "jobs/jobvalidation.h"
#include "jobs/teamdirectory.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Jobs
{

JobStore::JobStore()
    : configuration_(std::make_unique<Wire::JobConfiguration>())
    , teamDirectory_(std::make_unique<TeamDirectory>())
{
}

JobStore::~JobStore() = default;

std::string JobStore::apply(Replication::LogIndex /*index*/, std::string_view bytes)
{
    Wire::JobReply reply;
    Wire::JobCommand command;
    if (!command.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        reply.set_verdict(Wire::JOB_VERDICT_INVALID);
        reply.set_reason("the command can't be read");
        return reply.SerializeAsString();
    }
    reply.set_verdict(Wire::JOB_VERDICT_ACCEPTED);
    if (command.has_configuration())
        configure(std::move(*command.mutable_configuration()));
    for (const auto &minion : command.minions())
        recordMinion(minion);
    for (const auto &minion : command.gone_minions()) {
        minions_.erase(minion);
        speeds_.erase(minion);
        if (observer_)
            observer_->minionRemoved(minion);
    }
    for (const auto &end : command.ends())
        applyEnd(end);
    assign(command);
    if (command.has_submission())
        submit(command, reply);
    if (!command.cancelled_job().empty()) {
        const auto found = jobs_.find(command.cancelled_job());
        if (found == jobs_.end()) {
            reply.set_verdict(Wire::JOB_VERDICT_NO_SUCH_JOB);
        } else if (found->second.cancel()) {
            if (observer_)
                observer_->jobEnded(found->second);
        }
    }
    for (const auto &id : command.forgotten_jobs()) {
        jobs_.erase(id);
        if (observer_)
            observer_->jobRemoved(id);
    }
    for (const auto &speed : command.speeds())
        recordSpeed(speed);
    for (const auto &confirmation : command.confirmed_runs()) {
        const auto found = jobs_.find(confirmation.task().job());
        if (found != jobs_.end())
            found->second.confirmRun(toTaskName(confirmation.task()), confirmation.run());
    }
    return reply.SerializeAsString();
}

void JobStore::recordSpeed(const Wire::JobMinionSpeed &speed)
{
    const auto known = minions_.find(speed.minion());
    if (known != minions_.end() && known->second.born_unix_ms() == speed.minion_born_unix_ms())
        speeds_[speed.minion()] = speed;
}

void JobStore::recordMinion(const Wire::JobMinion &minion)
{
    auto &known = minions_[minion.id()];
    // A delayed record of an earlier incarnation says nothing about the later one.
    if (minion.born_unix_ms() < known.born_unix_ms())
        return;
    if (minion.born_unix_ms() != known.born_unix_ms())
        speeds_.erase(minion.id());
    const bool hasEarlier = known.born_unix_ms() != 0 && known.born_unix_ms() != minion.born_unix_ms();
    const bool isRestarted = known.is_restarted() || hasEarlier;
    known = minion;
    known.set_is_restarted(isRestarted);
    if (observer_)
        observer_->minionRecorded(minion);
}

void JobStore::configure(Wire::JobConfiguration configuration)
{
    // Versions that are not newer are ignored, so that a resent or delayed command can't restore an old configuration.
    if (configuration.version() <= configuration_->version())
        return;
    *configuration_ = std::move(configuration);
    *teamDirectory_ = TeamDirectory(*configuration_);
    for (const auto &queue : configuration_->queues())
        queues_[queueKey(queue)] = queue;
    for (const auto &team : configuration_->teams())
        teams_[team.name()] = team;
    if (observer_)
        observer_->configurationChanged();
}

void JobStore::applyEnd(const Wire::JobEnd &end)
{
    const auto found = jobs_.find(end.task().job());
    if (found == jobs_.end())
        return;
    auto &job = found->second;
    const auto before = job.phase();
    const bool changed = job.end(end, maxAttempts(job));
    if (!observer_)
        return;
    observer_->taskEnded(job, end, changed);
    if (job.phase() != before)
        observer_->jobEnded(job);
}

void JobStore::assign(const Wire::JobCommand &command)
{
    for (const auto &assignment : command.assignments()) {
        const auto found = jobs_.find(assignment.task().job());
        const auto name = toTaskName(assignment.task());
        const bool isAssignable = found != jobs_.end()
            && (assignment.is_copy() ? found->second.canAssignCopy(name, assignment.run(), assignment.minion())
                                     : found->second.canAssign(name, assignment.run()));
        if (!isAssignable) {
            if (observer_)
                observer_->assignmentDropped(assignment);
            continue;
        }
        auto &job = found->second;
        if (assignment.is_copy())
            job.assignCopy(name, assignment.run(), assignment.minion(), assignment.minion_born_unix_ms());
        else
            job.assign(name, assignment.run(), assignment.minion(), assignment.minion_born_unix_ms());
        if (observer_)
            observer_->taskAssigned(job, name, assignment.run());
    }
}

void JobStore::submit(Wire::JobCommand &command, Wire::JobReply &reply)
{
    const auto refuse = [&reply](Wire::JobVerdict verdict, const char *reason) {
        reply.set_verdict(verdict);
        reply.set_reason(reason);
    };
    auto &submission = *command.mutable_submission();
    if (command.has_admission())
        reply.set_configuration(configuration_->version());
    if (const auto *held = job(submission.id())) {
        const auto &owner = held->submission().team();
        if (TeamDirectory::isVisible(owner, submission.team()))
            return;
        if (TeamDirectory::mayOwn(owner, submission.team()) && held->submission().queue() == submission.queue())
            refuse(Wire::JOB_VERDICT_UNKNOWN, "the job is held for a team");
        else
            refuse(Wire::JOB_VERDICT_INVALID, "the id is in use");
        return;
    }
    if (!canBeHeld(submission.spec())) {
        refuse(Wire::JOB_VERDICT_INVALID, "the job has too many tasks, or steps that depend on later ones");
        return;
    }
    if (command.has_admission() && command.admission().configuration() != configuration_->version()) {
        const auto verdict = readmit(command.admission().key(), submission);
        if (verdict != Wire::JOB_VERDICT_ACCEPTED) {
            refuse(verdict, "the configuration has changed since the job was checked");
            return;
        }
    }
    const auto entry = jobs_.try_emplace(submission.id(), submission).first;
    if (observer_)
        observer_->jobAccepted(entry->second);
}

/// An answer that was given between the two configurations, such as that there is no such queue, has to stay true.
Wire::JobVerdict JobStore::readmit(const std::string &key, Wire::JobSubmission &submission) const
{
    const auto *found = queueInForce(submission);
    if (!found)
        return Wire::JOB_VERDICT_NO_SUCH_QUEUE;
    if (!teamDirectory_->admits(*found, key))
        return Wire::JOB_VERDICT_UNAUTHENTICATED;
    submission.set_team(std::string(teamDirectory_->teamOf(key)));
    return Wire::JOB_VERDICT_ACCEPTED;
}

const Wire::JobQueue *JobStore::queueInForce(const Wire::JobSubmission &submission) const
{
    for (const auto &queue : configuration_->queues()) {
        if (queueKey(queue) != submission.queue())
            continue;
        // A new queue with a longer prefix may have taken over the job's path.
        return queueAt(queue.host(), queue.path_prefix() + submission.id()) == &queue ? &queue : nullptr;
    }
    return nullptr;
}

std::uint32_t JobStore::maxAttempts(const Job &job) const
{
    const auto *found = queue(job.submission().queue());
    return found ? std::max(1U, found->max_attempts()) : 1;
}

const Wire::JobQueue *JobStore::queueAt(std::string_view host, std::string_view path) const
{
    const Wire::JobQueue *best = nullptr;
    for (const auto &queue : configuration_->queues()) {
        if (queue.host() != host || !path.starts_with(queue.path_prefix()))
            continue;
        if (!best || queue.path_prefix().size() > best->path_prefix().size())
            best = &queue;
    }
    return best;
}

const Wire::JobQueue *JobStore::queue(const std::string &key) const
{
    const auto found = queues_.find(key);
    return found == queues_.end() ? nullptr : &found->second;
}

const Wire::JobTeam *JobStore::team(const std::string &name) const
{
    const auto found = teams_.find(name);
    return found == teams_.end() ? nullptr : &found->second;
}

std::string JobStore::queueKey(const Wire::JobQueue &queue)
{
    return queue.host() + queue.path_prefix();
}

const Job *JobStore::job(const std::string &id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

} // namespace Pistachio::Jobs
