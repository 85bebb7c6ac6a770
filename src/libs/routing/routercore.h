#pragma once

#include "core/random.h"
#include "routing/admissionqueue.h"
#include "routing/balancer.h"
#include "routing/commands.h"
#include "routing/events.h"
#include "routing/miniontable.h"
#include "routing/peertable.h"
#include "routing/retrybudget.h"
#include "routing/routersettings.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace Pistachio::Routing::Internal
{

enum class RequestState : std::uint8_t {
    Queued,
    Claiming, ///< the claim is requested; a slot is reserved
    InFlight,
    Backoff, ///< waiting before a retry
};

/// An accepted request that is not answered yet.
struct OpenRequest {
    Request request;
    RequestState state = RequestState::Queued;
    std::uint32_t attemptsSent = 0;
    AttemptId attempt; ///< outstanding claim or attempt
    AttemptId claim; ///< attempt that holds the claim; empty while this entry holds none
    MinionId minion; ///< minion of which a slot is reserved
    InstanceId peer; ///< entry that the request is forwarded to
    std::set<MinionId> triedMinions;
    std::set<InstanceId> triedPeers;
    AttemptId fallbackAttempt; ///< attempt answered with a server error; its answer is passed on when no retry succeeds
    bool mayHaveRun = false;
};

/// An attempt whose result is awaited.
struct OpenAttempt {
    RequestId request;
    TimePoint sent;
};

enum class TimerKind : std::uint8_t {
    Deadline,
    Attempt,
    Claim,
    Retry,
};

struct Timer {
    TimerKind kind = TimerKind::Deadline;
    RequestId request;
    AttemptId attempt; ///< the timer is ignored once the request has another attempt
};

/// Implements Router. Admission and dispatch are in routercore.cpp, the handling of results, retries and timeouts in
/// routerlifecycle.cpp.
class RouterCore
{
public:
    RouterCore(RouterSettings settings, std::unique_ptr<Balancer> balancer, std::unique_ptr<SlotPolicy> slotPolicy,
               std::uint64_t seed);

    void requestArrived(TimePoint now, const Request &request);
    void requestAbandoned(TimePoint now, const RequestId &request);
    void claimAnswered(TimePoint now, const ClaimResult &result);
    void attemptFinished(TimePoint now, const AttemptResult &result);
    void tick(TimePoint now);
    /// Sends waiting requests while there are free slots.
    void dispatchQueued(TimePoint now, const ServiceId &service);
    void dispatchAllQueued(TimePoint now);

    [[nodiscard]] TimePoint nextTick() const;
    [[nodiscard]] std::size_t queuedRequests() const;
    [[nodiscard]] std::vector<ServiceLoad> loads() const;

    RouterSettings settings_;
    MinionTable minions_;
    PeerTable peers_;
    std::vector<Command> commands_;
    std::unordered_map<RequestId, OpenRequest> requests_;
    bool draining_ = false;

private:
    struct Estimate {
        Duration wait{};
        Duration latency{}; ///< smoothed latency, taken as the time a request holds a slot; zero when unknown
    };

    void admit(TimePoint now, OpenRequest &open);
    /// Admits the queued requests of a service again, after it lost its last usable minion.
    void readmitQueued(TimePoint now, const ServiceId &service);
    [[nodiscard]] Estimate estimate(const ServiceId &service, const CallerId &caller) const;
    /// \return whether the request may be queued, if need be in place of one from the caller with the most waiting.
    bool ensureQueueSpace(TimePoint now, const Request &request);
    bool tryDispatch(TimePoint now, OpenRequest &open);
    bool tryForward(TimePoint now, OpenRequest &open, PeerTable::Distance maxDistance);
    [[nodiscard]] bool needsClaim(const OpenRequest &open) const;
    void requestClaim(TimePoint now, OpenRequest &open);
    void send(TimePoint now, OpenRequest &open);

    void retryOrAnswer(TimePoint now, OpenRequest &open, AnswerReason reason);
    /// Answers without a further attempt; passes on the answer of `fallbackAttempt` if there is one.
    void giveUp(TimePoint now, OpenRequest &open, AnswerReason reason);
    void answer(TimePoint now, OpenRequest &open, Outcome outcome, AnswerReason reason,
                const AttemptId &answeredBy = {});
    void claimNotGranted(TimePoint now, OpenRequest &open, ClaimState state);
    void releaseSlot(OpenRequest &open);
    void recordAttemptResult(TimePoint now, OpenRequest &open, const AttemptResult &result, TimePoint sent);
    void runTimer(TimePoint now, const Timer &timer);
    void expire(TimePoint now, OpenRequest &open);
    void attemptTimedOut(TimePoint now, OpenRequest &open);
    void housekeeping(TimePoint now);

    [[nodiscard]] Duration attemptTimeout(TimePoint now, const OpenRequest &open) const;
    [[nodiscard]] Duration retryAfter(const ServiceId &service) const;
    [[nodiscard]] OpenRequest *findOpenRequest(const RequestId &request);
    AttemptId nextAttempt();
    void startTimer(TimePoint at, TimerKind kind, const OpenRequest &open);
    void recordDecision(const OpenRequest &open, std::string chosen, std::vector<std::string> candidates,
                        std::string reason, std::string outcome = {});

    std::unique_ptr<Balancer> balancer_;
    RandomSource random_;
    RetryBudget retryBudget_;
    std::map<ServiceId, AdmissionQueue> queues_;
    std::unordered_map<AttemptId, OpenAttempt> attempts_;
    std::multimap<TimePoint, Timer> timers_;
    TimePoint nextHousekeeping_;
    std::uint64_t lastAttemptNumber_ = 0;
};

} // namespace Pistachio::Routing::Internal
