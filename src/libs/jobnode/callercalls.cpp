#include "jobnode/callercalls.h"

#include "jobnode/instanceid.h"
#include "jobnode/peers.h"
#include "transport/eventloop.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Jobnode
{

using Transport::EventLoop;

namespace
{
constexpr Duration attemptLimit = 1s; ///< a commit takes tens of ms; longer means that the leader is gone
constexpr Duration relayLimit = 700ms;
constexpr Duration retryDelay = 50ms;
constexpr Duration electionLimit = 1500ms; ///< from the last word of a leader to the first one of the next
constexpr Duration confirmedLimit = 800ms; ///< a few announcements are missing by then

/// \return whether the verdict says that nothing was done.
bool isRefusal(Wire::JobVerdict verdict)
{
    return verdict == Wire::JOB_VERDICT_UNAVAILABLE || verdict == Wire::JOB_VERDICT_NO_SUCH_QUEUE
        || verdict == Wire::JOB_VERDICT_INVALID || verdict == Wire::JOB_VERDICT_RATE_LIMITED;
}
} // namespace

struct CallerCalls::Attempt {
    std::uint64_t id = 0;
    std::string body;
    std::string relayedBody;
    bool isRelayed = false; ///< by another entry, to which it goes back if the leader can't be reached
    bool isChange = false;
    bool isWaiting = false; ///< for the next attempt
    bool isTried = false; ///< somebody was asked
    TimePoint arrivedAt{};
    TimePoint deadline{};
    TimePoint doubtDeadline{};
    Answered answered;
    Transport::Timer timer;
    bool mayHaveTakenEffect = false;
    std::string reason;
};

CallerCalls::CallerCalls(Transport::EventLoop &loop, Peers &peers, std::vector<std::string> seeds)
    : loop_(loop)
    , peers_(peers)
    , seeds_(std::move(seeds))
    , leaderSeenAt_(EventLoop::now())
{
    if (!seeds_.empty())
        target_ = seeds_.front();
}

CallerCalls::~CallerCalls() = default;

void CallerCalls::targetFailed(const std::string &ip)
{
    const auto candidates = controls_.size() + seeds_.size();
    if (ip != target_ || candidates == 0)
        return;
    const auto next = nextCandidate_++ % candidates;
    target_ = next < controls_.size() ? controls_[next] : seeds_[next - controls_.size()];
    confirmedAt_ = {};
}

void CallerCalls::setSeeds(std::vector<std::string> seeds)
{
    seeds_ = std::move(seeds);
    if (target_.empty() && !seeds_.empty())
        target_ = seeds_.front();
}

void CallerCalls::setControls(std::vector<std::string> controls)
{
    controls_ = std::move(controls);
}

void CallerCalls::leaderConfirmed(const std::string &ip)
{
    target_ = ip;
    if (!isLeaderConfirmed())
        resumeTimer_ = loop_.callAfter(Duration::zero(), [this] { resume(); });
    confirmedAt_ = EventLoop::now();
    leaderSeenAt_ = confirmedAt_;
}

void CallerCalls::resume()
{
    const auto open = open_;
    for (const auto &[id, attempt] : open) {
        // What a relay may not answer in time is asked for once more, as a read changes nothing.
        if (attempt->isWaiting || !attempt->isChange)
            send(attempt);
    }
}

void CallerCalls::call(const Wire::JobCall &call, Duration limit, Duration doubtLimit, Answered answered)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->id = nextId_++;
    attempt->body = call.SerializeAsString();
    auto relayed = call;
    relayed.set_relayed(true);
    attempt->relayedBody = relayed.SerializeAsString();
    attempt->isRelayed = call.relayed();
    attempt->isChange = call.has_submission() || call.cancel();
    attempt->arrivedAt = EventLoop::now();
    attempt->deadline = attempt->arrivedAt + limit;
    attempt->doubtDeadline = attempt->arrivedAt + doubtLimit;
    attempt->answered = std::move(answered);
    open_[attempt->id] = attempt;
    ++inFlight_;
    send(attempt);
}

void CallerCalls::send(const std::shared_ptr<Attempt> &attempt)
{
    const auto now = EventLoop::now();
    attempt->isWaiting = false;
    const auto left = (attempt->mayHaveTakenEffect ? attempt->doubtDeadline : attempt->deadline) - now;
    if (left <= Duration::zero() || isHopeless(*attempt)) {
        if (attempt->reason.empty())
            attempt->reason = "there is no leader, and none is expected";
        Wire::JobReply reply;
        reply.set_verdict(attempt->mayHaveTakenEffect ? Wire::JOB_VERDICT_UNKNOWN : Wire::JOB_VERDICT_UNAVAILABLE);
        reply.set_reason(attempt->reason);
        finish(attempt, reply);
        return;
    }
    const bool mayRelay = !attempt->isRelayed && !relays_.empty();
    if (!isLeaderConfirmed() && (attempt->isChange || mayRelay)) {
        if (attempt->reason.empty())
            attempt->reason = "no leader is confirmed";
        if (mayRelay)
            sendTo(attempt, relays_[nextRelay_++ % relays_.size()], std::min(left, relayLimit), true);
        else
            retry(attempt, retryDelay);
        return;
    }
    sendTo(attempt, target_, std::min(left, attemptLimit), false);
}

bool CallerCalls::isHopeless(const Attempt &attempt) const
{
    const bool canAsk = !attempt.isTried && (!relays_.empty() || !attempt.isChange) && !attempt.isRelayed;
    return !isLeaderConfirmed() && !attempt.mayHaveTakenEffect && !canAsk
        && EventLoop::now() >= leaderSeenAt_ + electionLimit;
}

bool CallerCalls::isLeaderConfirmed() const
{
    return EventLoop::now() <= confirmedAt_ + confirmedLimit;
}

void CallerCalls::sendTo(const std::shared_ptr<Attempt> &attempt, const std::string &ip, Duration limit, bool isRelay)
{
    attempt->isTried = true;
    peers_.call(ip, "/jobs/call", isRelay ? attempt->relayedBody : attempt->body, limit,
                [this, attempt, ip, isRelay](const Transport::CallResult &result) {
                    if (!open_.contains(attempt->id))
                        return;
                    Wire::JobReply reply;
                    if (!result) {
                        attempt->mayHaveTakenEffect
                            = attempt->mayHaveTakenEffect || (attempt->isChange && result.error().written);
                        lost(attempt, ip, isRelay, result.error().error.message);
                    } else if (result.value().status != 200 || !reply.ParseFromString(result.value().body)) {
                        lost(attempt, ip, isRelay, "status " + std::to_string(result.value().status) + " from " + ip);
                    } else {
                        this->answered(attempt, ip, isRelay, std::move(reply));
                    }
                });
}

void CallerCalls::lost(const std::shared_ptr<Attempt> &attempt, const std::string &ip, bool isRelay, std::string reason)
{
    attempt->reason = std::move(reason);
    if (!isRelay)
        targetFailed(ip);
    retry(attempt, retryDelay);
}

void CallerCalls::answered(const std::shared_ptr<Attempt> &attempt, const std::string &ip, bool isRelay,
                           Wire::JobReply reply)
{
    if (reply.verdict() == Wire::JOB_VERDICT_NOT_LEADER) {
        attempt->reason = ip + (isRelay ? " can't reach the leader either" : " does not lead");
        const InstanceId leader(reply.leader());
        const bool isNews = !isRelay && isReachable(leader) && target_ == ip;
        if (isNews)
            target_ = ipOf(leader);
        else if (!isRelay && !isReachable(leader))
            targetFailed(ip);
        retry(attempt, isNews ? Duration::zero() : retryDelay);
        return;
    }
    if (reply.verdict() == Wire::JOB_VERDICT_UNKNOWN) {
        attempt->reason = reply.reason();
        attempt->mayHaveTakenEffect = true;
        retry(attempt, retryDelay);
        return;
    }
    if (isRelay)
        relayedAt_ = EventLoop::now();
    else
        leaderConfirmed(ip);
    // An earlier attempt may have got through where this one did not, such as before the queue was removed.
    if (isRefusal(reply.verdict()) && attempt->mayHaveTakenEffect)
        reply.set_verdict(Wire::JOB_VERDICT_UNKNOWN);
    const auto verdict = verdictInOrder(*attempt, reply);
    if (verdict == Wire::JOB_VERDICT_UNSPECIFIED) {
        attempt->reason = "the leader's configuration is outdated";
        retry(attempt, retryDelay);
        return;
    }
    if (verdict == reply.verdict())
        answerOrder_.record(attempt->arrivedAt, reply.configuration());
    reply.set_verdict(verdict);
    finish(attempt, reply);
}

Wire::JobVerdict CallerCalls::verdictInOrder(const Attempt &attempt, const Wire::JobReply &reply) const
{
    const bool isUndone = !attempt.isChange || isRefusal(reply.verdict());
    const auto order
        = isUndone ? answerOrder_.check(attempt.arrivedAt, reply.configuration()) : AnswerOrder::Verdict::InOrder;
    switch (order) {
    case AnswerOrder::Verdict::InOrder:
        return reply.verdict();
    case AnswerOrder::Verdict::Outdated:
        return Wire::JOB_VERDICT_UNSPECIFIED;
    case AnswerOrder::Verdict::TooNew:
        return Wire::JOB_VERDICT_UNAVAILABLE;
    }
    return reply.verdict();
}

void CallerCalls::retry(const std::shared_ptr<Attempt> &attempt, Duration delay)
{
    attempt->isWaiting = true;
    attempt->timer = loop_.callAfter(delay, [this, attempt] { send(attempt); });
}

void CallerCalls::finish(const std::shared_ptr<Attempt> &attempt, const Wire::JobReply &reply)
{
    if (open_.erase(attempt->id) == 0)
        return;
    --inFlight_;
    attempt->timer.cancel();
    attempt->answered(reply);
}

} // namespace Pistachio::Jobnode
