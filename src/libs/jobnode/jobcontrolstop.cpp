// How a control instance ends: first its vote goes to a learner, if there is one.

#include "jobnode/jobcontrolprivate.h"

#include <utility>

namespace Pistachio::Jobnode
{

using Transport::EventLoop;

namespace
{

constexpr Duration stopLimit = 500ms;
constexpr Duration leaveLimit = 2s; ///< an election and two changes of the members take less
constexpr Duration leaveInterval = 50ms;
constexpr Duration leaveCallLimit = 300ms;

} // namespace

void JobControl::stop(std::function<void()> finished)
{
    if (d_->stopped)
        return;
    d_->stopped = std::move(finished);
    d_->leaveUntil = EventLoop::now() + leaveLimit;
    d_->membership->leave();
    leaveGroup();
}

void JobControl::leaveGroup()
{
    const auto now = EventLoop::now();
    const auto &replica = d_->group->replica();
    const auto leader = leaderIp();
    const bool mayLeave
        = d_->group->canAnswer(now) && d_->membership->mayLeave(now, d_->ledSince, replica, d_->group->self());
    if (mayLeave || !d_->membership->hasVote(replica) || now >= d_->leaveUntil)
        finishStop();
    else if (leader.empty())
        leaveLater();
    else
        askToLeave(leader);
}

void JobControl::leaveLater()
{
    d_->leaveTimer = d_->runtime.loop().callAfter(leaveInterval, [this] { leaveGroup(); });
}

void JobControl::askToLeave(const std::string &leader)
{
    Wire::JobJoin message;
    message.set_instance(d_->group->self().value());
    message.set_leaves(true);
    d_->peers.call(leader, "/jobs/join", message.SerializeAsString(), leaveCallLimit,
                   [this](const Transport::CallResult &result) {
                       Wire::JobReply reply;
                       const bool isAnswered = result && reply.ParseFromString(result.value().body);
                       if (isAnswered && reply.verdict() == Wire::JOB_VERDICT_ACCEPTED)
                           finishStop();
                       else
                           leaveLater();
                   });
}

void JobControl::finishStop()
{
    d_->tickTimer.cancel();
    d_->flushTimer.cancel();
    d_->scheduler.loseLeadership();
    d_->minions.resign();
    // They outlive this, and their answers must not.
    d_->minions.close();
    d_->advice.close();
    d_->server.stop(stopLimit, d_->stopped);
}

} // namespace Pistachio::Jobnode
