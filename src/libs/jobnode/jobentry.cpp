#include "jobnode/jobentry.h"

#include "jobnode/adviceclient.h"
#include "jobnode/advicerequests.h"
#include "jobnode/callercalls.h"
#include "jobnode/descriptorbudget.h"
#include "jobnode/instanceid.h"
#include "jobnode/noderuntime.h"
#include "jobnode/peers.h"
#include "transport/http2server.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Jobnode
{

using Logging::LogLevel;
using Transport::EventLoop;

namespace
{

constexpr Duration announceInterval = 300ms;
constexpr Duration announceRetry = 100ms; ///< while no leader is known
constexpr Duration announceLimit = 400ms;
constexpr Duration leaderSeenLimit = 1500ms; ///< an election is no reason to send callers elsewhere
constexpr Duration relayLimit = 600ms; ///< below what the entry that asks waits for
constexpr Duration longestCall = 1500ms; ///< then the caller is told to come again; an election takes as long
constexpr Duration answerMargin = 150ms; ///< the answer reaches the caller within its deadline
constexpr int answerMarginShare = 4; ///< at most this part of a short deadline
constexpr Duration stopLimit = 300ms;
constexpr Duration slowRead = 250ms; ///< quicker ones are not logged

std::vector<std::string> seedIps(const Settings::JobSettings &settings)
{
    auto ips = settings.seedIps();
    // Entries begin at different seeds.
    if (!ips.empty())
        std::rotate(ips.begin(),
                    ips.begin() + static_cast<std::ptrdiff_t>(std::hash<std::string>{}(settings.ip) % ips.size()),
                    ips.end());
    return ips;
}

} // namespace

struct JobEntry::Private {
    Private(const Settings::JobSettings &jobSettings, NodeRuntime &nodeRuntime, AdviceClient &adviceClient,
            JobEntry &owner)
        : settings(jobSettings)
        , runtime(nodeRuntime)
        , advice(adviceClient)
        , calls(nodeRuntime.loop(), peers, seedIps(jobSettings))
        , server(nodeRuntime.loop(), serverLimits(jobSettings, nodeRuntime),
                 [&owner](const Transport::Request &request, const Transport::Responder &responder) {
                     owner.handleInternal(request, responder);
                 })
        , peers(nodeRuntime.loop(), jobSettings.internalPort, jobSettings.bindIp, nullptr, nodeRuntime.memory())
    {
    }

    static Transport::Http2ServerLimits serverLimits(const Settings::JobSettings &jobSettings,
                                                     const NodeRuntime &nodeRuntime)
    {
        Transport::Http2ServerLimits limits;
        limits.connections = DescriptorBudget::forEntry(jobSettings.maxDescriptors).internal;
        limits.memory = nodeRuntime.memory();
        return limits;
    }

    const Settings::JobSettings &settings;
    NodeRuntime &runtime;
    AdviceClient &advice;
    CallerCalls calls;
    Transport::Http2Server server;
    Transport::Timer announceTimer;
    TimePoint leaderSeen{};
    bool wasReady = false;
    bool draining = false;
    Peers peers; ///< last, since its calls end in the others
};

JobEntry::JobEntry(const Settings::JobSettings &settings, NodeRuntime &runtime, AdviceClient &advice)
    : d_(std::make_unique<Private>(settings, runtime, advice, *this))
{
}

JobEntry::~JobEntry()
{
    // It outlives this, and its answers must not.
    d_->advice.close();
}

std::size_t JobEntry::internalConnections() const
{
    return d_->server.connections();
}

Result<void> JobEntry::open()
{
    BOOST_OUTCOME_TRY(const auto port, d_->server.listen({d_->settings.localIp(), d_->settings.internalPort}));
    d_->runtime.logger().write(LogLevel::Info, "started", {{"internal_port", port}, {"zone", d_->settings.zone}});
    announce();
    return success();
}

void JobEntry::setSeeds(std::vector<std::string> seeds)
{
    d_->calls.setSeeds(std::move(seeds));
}

bool JobEntry::isReady() const
{
    const auto seen = std::max(d_->leaderSeen, d_->calls.relayedAt());
    return !d_->draining && seen != TimePoint{} && EventLoop::now() < seen + leaderSeenLimit;
}

void JobEntry::setReady(bool ready, std::string_view reason)
{
    if (ready == d_->wasReady)
        return;
    d_->wasReady = ready;
    d_->runtime.logger().write(LogLevel::Info, ready ? "leader-regained" : "leader-lost",
                               {{"target", d_->calls.target()}, {"reason", reason}});
}

void JobEntry::announce()
{
    Wire::JobJoin join;
    join.set_instance(d_->settings.ip);
    join.set_is_entry(true);
    const auto ip = d_->calls.target();
    d_->peers.call(
        ip, "/jobs/join", join.SerializeAsString(), announceLimit, [this, ip](const Transport::CallResult &result) {
            Wire::JobReply reply;
            std::string reason;
            if (!result)
                reason = result.error().error.message;
            else if (!reply.ParseFromString(result.value().body))
                reason = "unreadable answer";
            const bool isReadyLeader = reply.verdict() == Wire::JOB_VERDICT_ACCEPTED;
            // A leader without a configuration refuses callers itself.
            const bool isLeader = isReadyLeader || reply.verdict() == Wire::JOB_VERDICT_UNAVAILABLE;
            if (isReadyLeader)
                d_->leaderSeen = EventLoop::now();
            if (isLeader) {
                d_->calls.leaderConfirmed(ip);
                takeAddresses(ip, reply);
            } else if (reply.verdict() == Wire::JOB_VERDICT_NOT_LEADER && isReachable(InstanceId(reply.leader()))) {
                d_->calls.learnLeader(std::string(ipOf(InstanceId(reply.leader()))));
            } else {
                d_->calls.targetFailed(ip);
            }
            setReady(isReady(), reason);
            d_->announceTimer
                = d_->runtime.loop().callAfter(isLeader ? announceInterval : announceRetry, [this] { announce(); });
        });
}

/// Takes over the relays and control instances that a leader names, as far as they can be called.
void JobEntry::takeAddresses(std::string_view leader, const Wire::JobReply &reply)
{
    std::vector<std::string> relays(reply.entries().begin(), reply.entries().end());
    std::vector<std::string> controls(reply.controls().begin(), reply.controls().end());
    const auto isUnusable = [](const std::string &ip) { return !isReachable(InstanceId(ip)); };
    const auto removed = std::erase_if(relays, isUnusable) + std::erase_if(controls, isUnusable);
    if (removed > 0)
        d_->runtime.logger().write(LogLevel::Warning, "addresses-unusable",
                                   {{"leader", leader}, {"entries", removed}, {"reason", "not an IP address"}});
    d_->calls.setRelays(std::move(relays));
    d_->calls.setControls(std::move(controls));
}

void JobEntry::call(const Wire::JobCall &call, Duration deadline, std::function<void(const Wire::JobReply &)> answered)
{
    const auto begun = EventLoop::now();
    const auto usable = deadline - std::min(answerMargin, deadline / answerMarginShare);
    d_->calls.call(
        call, std::min(usable, longestCall), usable,
        [this, call, begun, answered = std::move(answered)](const Wire::JobReply &reply) {
            const auto took = EventLoop::now() - begun;
            const std::string_view kind = call.has_submission() ? "submit" : call.cancel() ? "cancel" : "read";
            auto &metrics = d_->runtime.metrics();
            metrics.add("caller_requests_total{kind=\"" + std::string(kind) + "\",verdict=\""
                        + std::to_string(reply.verdict()) + "\"}");
            metrics.observe("caller_request_seconds", static_cast<double>(took.count()) / 1e6);
            const bool isFailure
                = reply.verdict() != Wire::JOB_VERDICT_ACCEPTED && reply.verdict() != Wire::JOB_VERDICT_NO_SUCH_JOB;
            if (isFailure || kind != "read" || took >= slowRead) {
                d_->runtime.logger().write(
                    isFailure ? LogLevel::Warning : LogLevel::Info, "caller-request",
                    {{"kind", kind},
                     {"path", call.path()},
                     {"verdict", static_cast<int>(reply.verdict())},
                     {"reason", reply.reason()},
                     {"configuration", reply.configuration()},
                     {"leader", d_->calls.target()},
                     {"leader_seen_ms", d_->leaderSeen == TimePoint{} ? -1 : (EventLoop::now() - d_->leaderSeen) / 1ms},
                     {"took_ms", took / 1ms}});
            }
            answered(reply);
        });
}

void JobEntry::handleInternal(const Transport::Request &request, const Transport::Responder &responder)
{
    if (request.target == "/jobs/call") {
        relay(request, responder);
        return;
    }
    if (request.target != "/jobs/advice") {
        responder.respond({404, {}, {}});
        return;
    }
    d_->runtime.metrics().add("advice_requests_total");
    answerAdviceRequest(d_->advice, request, responder);
}

/// Carries a request for an entry that lost the way to the leader.
void JobEntry::relay(const Transport::Request &request, const Transport::Responder &responder)
{
    const auto answer = [responder](const Wire::JobReply &reply) {
        responder.respond({200, {{"Content-Type", "application/x-protobuf"}}, reply.SerializeAsString()});
    };
    Wire::JobCall call;
    if (!call.ParseFromString(request.body)) {
        responder.respond({400, {}, "not a job call"});
        return;
    }
    if (!d_->calls.isLeaderConfirmed()) {
        Wire::JobReply reply;
        reply.set_verdict(Wire::JOB_VERDICT_NOT_LEADER);
        answer(reply);
        return;
    }
    d_->runtime.metrics().add("relayed_requests_total");
    d_->calls.call(call, relayLimit, relayLimit, answer);
}

void JobEntry::drain()
{
    d_->draining = true;
}

bool JobEntry::isDraining() const
{
    return d_->draining;
}

std::size_t JobEntry::inFlight() const
{
    return d_->calls.inFlight();
}

void JobEntry::stop(std::function<void()> finished)
{
    d_->announceTimer.cancel();
    d_->advice.close();
    d_->server.stop(stopLimit, std::move(finished));
}

} // namespace Pistachio::Jobnode
