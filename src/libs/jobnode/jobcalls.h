#pragma once

#include "core/time.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Pistachio::Jobs
{
class Job;
class JobStore;
class JobScheduler;
} // namespace Pistachio::Jobs

namespace Pistachio::Wire
{
class JobCall;
class JobCommand;
class JobReply;
class JobSubmission;
} // namespace Pistachio::Wire

namespace Pistachio::Jobnode
{

class JobGroup;

/// Answers callers' requests at the leader of the job group. Nothing is answered from a state that may be stale.
///
/// A caller is known by the team that its key belongs to. It sees the jobs of its team and those of no team.
class JobCalls
{
public:
    using Answered = std::function<void(Wire::JobReply)>;

    /// \param store the state of \p group
    /// \param scheduler knows which jobs have begun, and which are beyond their team's rate
    /// \param unixMs reads the time of day
    JobCalls(const Jobs::JobStore &store, Jobs::JobScheduler &scheduler, JobGroup &group,
             std::function<std::int64_t()> unixMs);

    /// \param answered called exactly once, possibly before this function returns
    void handle(TimePoint now, const Wire::JobCall &call, const Answered &answered);

    /// Proposes a command and passes on its verdict; NOT_LEADER and UNAVAILABLE mean that nothing was done.
    void propose(TimePoint now, const Wire::JobCommand &command, const Answered &answered);

    /// \return a reply that names the leader as far as it is known.
    [[nodiscard]] Wire::JobReply notLeader() const;

private:
    void answer(TimePoint now, const Wire::JobCall &call, const Answered &answered);
    void submit(TimePoint now, const Wire::JobCall &call, const std::string &queueKey, const std::string &id,
                const Answered &answered);
    void cancel(TimePoint now, const Wire::JobCall &call, const std::string &id, const Answered &answered);
    /// Cancels a job whose queue has left the configuration.
    void cancelWithoutQueue(TimePoint now, const Wire::JobCall &call, const std::string &id, const Answered &answered);
    void read(const Wire::JobCall &call, const std::string &queueKey, const std::string &id,
              const Answered &answered) const;
    /// Refuses the call. All refusals go through this: it answers UNKNOWN in place of \p refusal if the call submits a
    /// job that is held and that its caller may have submitted before.
    void refuse(const Wire::JobCall &call, const Wire::JobReply &refusal, const Answered &answered) const;
    /// \return whether such a job is held, whatever queues and keys are in force.
    [[nodiscard]] bool mayHoldJobOf(const Wire::JobCall &call) const;
    /// \return the job that was accepted at the host and path of the call, or null if none is held. Its queue may have
    /// left the configuration since, and another one may answer there.
    [[nodiscard]] const Jobs::Job *jobAcceptedAt(const Wire::JobCall &call) const;
    /// \return the job if it is held and the caller may see it, or null.
    [[nodiscard]] const Jobs::Job *visibleJob(const Wire::JobCall &call, const std::string &id) const;
    /// \return the caller's team; empty if its key is not in force.
    [[nodiscard]] std::string_view teamOf(const Wire::JobCall &call) const;
    /// Marks a submission that is beyond its team's rate.
    /// \return the refusal if owed work is late.
    std::optional<Wire::JobReply> limitRate(TimePoint now, Wire::JobSubmission &submission);

    const Jobs::JobStore &store_;
    Jobs::JobScheduler &scheduler_;
    JobGroup &group_;
    std::function<std::int64_t()> unixMs_;
};

} // namespace Pistachio::Jobnode
