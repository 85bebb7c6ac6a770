#pragma once

#include "core/time.h"
#include "jobnode/answerorder.h"
#include "transport/eventloop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Pistachio::Wire
{
class JobCall;
class JobReply;
enum JobVerdict : int;
} // namespace Pistachio::Wire

namespace Pistachio::Jobnode
{

class Peers;

/// Carries callers' requests to the leader of the job group, whoever that is, and again after a failure. Handing a job
/// in again is harmless, since it keeps its id.
///
/// Requests wait for a leader while one may be elected; then they are refused at once. Their answers keep the order of
/// arrival with respect to the configuration.
class CallerCalls
{
public:
    using Answered = std::function<void(const Wire::JobReply &)>;

    /// \param seeds the addresses of control instances
    CallerCalls(Transport::EventLoop &loop, Peers &peers, std::vector<std::string> seeds);
    ~CallerCalls();

    /// A change is sent only to a confirmed leader, so that it is rarely in doubt whether it took effect.
    /// \param limit until UNAVAILABLE, when no attempt can have taken effect
    /// \param doubtLimit until UNKNOWN, when one may have; attempts go on until then, since each may settle it
    /// \param answered called exactly once, later
    void call(const Wire::JobCall &call, Duration limit, Duration doubtLimit, Answered answered);

    /// \param seeds the addresses of control instances, in place of earlier ones
    void setSeeds(std::vector<std::string> seeds);

    /// \param controls the addresses of control instances, as the leader named them last
    void setControls(std::vector<std::string> controls);

    /// The instance has answered as the leader.
    void leaderConfirmed(const std::string &ip);
    [[nodiscard]] bool isLeaderConfirmed() const;

    /// \param relays other entries, which reach the leader when this one does not
    void setRelays(std::vector<std::string> relays) { relays_ = std::move(relays); }

    /// \return when a relay last carried a request to the leader.
    [[nodiscard]] TimePoint relayedAt() const { return relayedAt_; }

    /// \return the address believed to lead.
    [[nodiscard]] const std::string &target() const { return target_; }
    void learnLeader(const std::string &ip) { target_ = ip; }
    /// Turns to the next instance after the current one failed.
    void targetFailed(const std::string &ip);
    [[nodiscard]] std::size_t inFlight() const { return inFlight_; }

private:
    struct Attempt;
    void send(const std::shared_ptr<Attempt> &attempt);
    void sendTo(const std::shared_ptr<Attempt> &attempt, const std::string &ip, Duration limit, bool isRelay);
    void lost(const std::shared_ptr<Attempt> &attempt, const std::string &ip, bool isRelay, std::string reason);
    void answered(const std::shared_ptr<Attempt> &attempt, const std::string &ip, bool isRelay, Wire::JobReply reply);
    /// \return the verdict that keeps the answers in order; UNSPECIFIED: the leader is to be asked again.
    [[nodiscard]] Wire::JobVerdict verdictInOrder(const Attempt &attempt, const Wire::JobReply &reply) const;
    /// \return whether no leader can be expected, since there was none for longer than an election takes, and no other
    /// entry knows one.
    [[nodiscard]] bool isHopeless(const Attempt &attempt) const;
    void retry(const std::shared_ptr<Attempt> &attempt, Duration delay);
    /// Sends what waited for a leader, in the order of arrival.
    void resume();
    void finish(const std::shared_ptr<Attempt> &attempt, const Wire::JobReply &reply);

    Transport::EventLoop &loop_;
    Peers &peers_;
    std::vector<std::string> seeds_;
    std::vector<std::string> controls_;
    std::size_t nextCandidate_ = 0;
    std::string target_;
    TimePoint confirmedAt_{};
    TimePoint leaderSeenAt_; ///< like confirmedAt_, but kept when the leader fails; begins with the process
    std::vector<std::string> relays_;
    std::size_t nextRelay_ = 0;
    TimePoint relayedAt_{};
    std::size_t inFlight_ = 0;
    std::uint64_t nextId_ = 1;
    std::map<std::uint64_t, std::shared_ptr<Attempt>> open_; ///< in the order of arrival
    AnswerOrder answerOrder_;
    Transport::Timer resumeTimer_;
};

} // namespace Pistachio::Jobnode
