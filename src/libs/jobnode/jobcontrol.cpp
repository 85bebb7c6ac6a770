#include "jobnode/jobcontrol.h"

#include "jobnode/advicerequests.h"
#include "jobnode/jobcontrolprivate.h"

#include <jobs.pb.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Pistachio::Jobnode
{

using Internal::momentNow;
using Logging::LogLevel;
using Transport::EventLoop;

namespace
{

constexpr Duration leaderTick = 20ms; ///< bounds how long a free minion waits for its next task
constexpr Duration followerTick = 40ms;
constexpr Duration flushInterval = 5ms; ///< about one sync of the disk; bounds the messages to the other members
constexpr Duration announceLimit = 900ms;
constexpr Duration forwardLimit = 900ms; ///< callers turn elsewhere after a second
constexpr Duration entrySeenLimit = 3s;
constexpr std::size_t relaysEach = 3; ///< entries named to another one, in case it loses the way to the leader
constexpr Duration stopLimit = 500ms;

Transport::Response bytes(std::string body)
{
    return {200, {{"Content-Type", "application/x-protobuf"}}, std::move(body)};
}

} // namespace

JobControl::JobControl(const Settings::JobSettings &settings, NodeRuntime &runtime, MinionClient &minions,
                       AdviceClient &advice)
    : d_(std::make_unique<Private>(settings, runtime, minions, advice, *this))
{
}

JobControl::~JobControl() = default;

Result<void> JobControl::open()
{
    const auto &settings = d_->settings;
    const auto seeds = settings.seedIps();
    BOOST_OUTCOME_TRY(const auto identity,
                      loadIdentity(d_->files, settings.dataFolder, settings.ip, seeds, settings.bootstrap));
    BOOST_OUTCOME_TRY(d_->group, JobGroup::open(d_->files, settings.dataFolder, identity, d_->store, d_->peers, [this] {
                          d_->runtime.loop().post([this] { flush(); });
                      }));
    d_->membership
        = std::make_unique<GroupMembership>(identity.id, seeds, 2 * settings.toleratedLosses + 1, settings.catchUpTime);
    d_->calls = std::make_unique<JobCalls>(d_->store, d_->scheduler, *d_->group, [] { return NodeRuntime::unixMs(); });
    BOOST_OUTCOME_TRY(const auto port, d_->server.listen({settings.localIp(), settings.internalPort}));
    d_->runtime.logger().write(LogLevel::Info, "started",
                               {{"id", identity.id.value()},
                                {"internal_port", port},
                                {"bootstrap", settings.bootstrap},
                                {"voters", identity.initialMembers.voters.size()},
                                {"applied", d_->group->replica().appliedIndex()},
                                {"term", d_->group->replica().term()}});
    scheduleTick();
    return success();
}

void JobControl::setSeeds(std::vector<std::string> seeds)
{
    d_->membership->setSeeds(std::move(seeds));
}

bool JobControl::hasLeader() const
{
    return !d_->group->replica().leaderHint().isEmpty();
}

void JobControl::stop(std::function<void()> finished)
{
    d_->tickTimer.cancel();
    d_->flushTimer.cancel();
    d_->scheduler.loseLeadership();
    // They outlive this, and their answers must not.
    d_->minions.close();
    d_->advice.close();
    d_->server.stop(stopLimit, std::move(finished));
}

void JobControl::scheduleTick()
{
    d_->tickTimer = d_->runtime.loop().callAfter(d_->scheduler.isLeading() ? leaderTick : followerTick, [this] {
        tick();
        scheduleTick();
    });
}

void JobControl::tick()
{
    const auto now = EventLoop::now();
    d_->group->tick(now);
    flush();
    // Without a majority no order goes out: a later leader may exist. The time is read once more, since the process may
    // have been suspended since.
    const auto moment = momentNow();
    if (d_->scheduler.isLeading() && d_->group->canAnswer(moment.time))
        d_->scheduler.tick(moment);
    changeMembers();
    announce();
    flush();
    d_->groupReport.update(now, d_->ledSince, d_->group->replica());
}

/// Events of one round share a write to the disk, and under load those of a few milliseconds.
void JobControl::changed()
{
    if (std::exchange(d_->flushPosted, true))
        return;
    const auto wait = d_->lastFlush + flushInterval - EventLoop::now();
    if (wait <= Duration::zero())
        d_->runtime.loop().post([this] { finishRound(); });
    else
        d_->flushTimer = d_->runtime.loop().callAfter(wait, [this] { finishRound(); });
}

void JobControl::finishRound()
{
    flush();
    // Work that became ready, or room for it, is not left until the next tick.
    const auto moment = momentNow();
    if (d_->scheduler.isLeading() && d_->group->canAnswer(moment.time)) {
        d_->scheduler.planIfChanged(moment);
        flush();
    }
    d_->lastFlush = EventLoop::now();
    d_->flushPosted = false;
}

void JobControl::flush()
{
    d_->group->flush(EventLoop::now());
    followLeadership();
    if (const auto &failure = d_->group->replica().failure()) {
        d_->runtime.logger().write(LogLevel::Error, "replica-failed", {{"reason", failure->message}});
        d_->runtime.loop().stop();
    }
}

void JobControl::followLeadership()
{
    const auto &replica = d_->group->replica();
    const bool leads = d_->group->isLeaderWithState();
    if (d_->scheduler.isLeading() && (!leads || replica.term() != d_->ledTerm))
        d_->scheduler.loseLeadership();
    if (leads && !d_->scheduler.isLeading()) {
        d_->ledTerm = replica.term();
        d_->ledSince = EventLoop::now();
        d_->scheduler.becomeLeader(momentNow(), replica.term());
        changed();
    }
    if (replica.leaderHint().value() != d_->lastLeader) {
        d_->lastLeader = replica.leaderHint().value();
        d_->runtime.logger().write(LogLevel::Info, "leader-seen",
                                   {{"leader", d_->lastLeader}, {"term", replica.term()}});
    }
}

void JobControl::changeMembers()
{
    const auto now = EventLoop::now();
    if (!d_->group->canAnswer(now))
        return;
    const auto change = d_->membership->nextChange(now, d_->ledSince, d_->group->replica());
    if (!change)
        return;
    d_->group->proposeMembership(now, *change, [this, change = *change](const Result<std::string> &result) {
        d_->membership->changeEnded(result.has_value());
        d_->runtime.logger().write(LogLevel::Info, "membership-change",
                                   {{"kind", static_cast<int>(change.kind)},
                                    {"member", change.instance.value()},
                                    {"result", result ? std::string("done") : result.error().message}});
    });
}

void JobControl::connectionLost(const std::string &ip)
{
    // Whether only the connection is gone or the leader as well, the next connect tells at once.
    if (ip != leaderIp())
        return;
    d_->runtime.loop().post([this, ip] { announceTo(ip); });
}

void JobControl::connectionRefused(const std::string &ip)
{
    if (ip == leaderIp())
        d_->runtime.logger().write(LogLevel::Warning, "leader-stopped",
                                   {{"leader", ip}, {"term", d_->group->replica().term()}});
    d_->group->memberStopped(EventLoop::now(), ip);
    changed();
}

/// Tells the leader that this instance is there, so that it can be a member and ask for advice.
void JobControl::announce()
{
    for (const auto &ip : d_->membership->announcements(EventLoop::now(), d_->group->replica()))
        announceTo(ip);
}

void JobControl::announceTo(const std::string &ip)
{
    Wire::JobJoin join;
    join.set_instance(d_->group->self().value());
    d_->peers.call(ip, "/jobs/join", join.SerializeAsString(), announceLimit,
                   [this, ip](const Transport::CallResult &result) {
                       Wire::JobReply reply;
                       if (!result || !reply.ParseFromString(result.value().body))
                           d_->membership->announcementFailed(ip);
                       else if (reply.verdict() == Wire::JOB_VERDICT_NOT_LEADER)
                           d_->membership->leaderNamed(InstanceId(reply.leader()));
                       else
                           d_->membership->leaderAnswered(ip);
                   });
}

void JobControl::handleInternal(const Transport::Request &request, const Transport::Responder &responder)
{
    if (request.target == "/jobs/replication") {
        if (!d_->group->receive(EventLoop::now(), request.body))
            d_->runtime.logger().write(LogLevel::Warning, "replication-unreadable", {{"bytes", request.body.size()}});
        responder.respond({204, {}, {}});
        changed();
    } else if (request.target == "/jobs/call") {
        handleCall(request, responder);
    } else if (request.target == "/jobs/join") {
        handleJoin(request, responder);
    } else if (request.target == "/jobs/forward") {
        handleForwarded(request, responder);
    } else if (request.target == "/jobs/advice") {
        answerAdviceRequest(d_->advice, request, responder);
    } else {
        responder.respond({404, {}, {}});
    }
}

void JobControl::handleCall(const Transport::Request &request, const Transport::Responder &responder)
{
    Wire::JobCall call;
    if (!call.ParseFromString(request.body)) {
        responder.respond({400, {}, "not a job call"});
        return;
    }
    const auto begun = EventLoop::now();
    d_->calls->handle(begun, call, [this, call, begun, responder](const Wire::JobReply &reply) {
        logCall(call, reply, EventLoop::now() - begun);
        responder.respond(bytes(reply.SerializeAsString()));
    });
    changed();
}

void JobControl::logCall(const Wire::JobCall &call, const Wire::JobReply &reply, Duration took)
{
    const std::string_view kind = call.has_submission() ? "submit" : call.cancel() ? "cancel" : "read";
    auto &metrics = d_->runtime.metrics();
    metrics.add("job_calls_total{kind=\"" + std::string(kind) + "\",verdict=\"" + std::to_string(reply.verdict())
                + "\"}");
    if (kind == "read")
        return;
    metrics.observe("job_" + std::string(kind) + "_seconds", static_cast<double>(took.count()) / 1e6);
    d_->runtime.logger().write(LogLevel::Info, kind == "submit" ? "job-submitted" : "job-cancelled",
                               {{"path", call.path()},
                                {"verdict", static_cast<int>(reply.verdict())},
                                {"reason", reply.reason()},
                                {"configuration", d_->store.configuration().version()},
                                {"term", d_->group->replica().term()},
                                {"took_ms", took / 1ms}});
}

void JobControl::handleJoin(const Transport::Request &request, const Transport::Responder &responder)
{
    Wire::JobJoin join;
    if (!join.ParseFromString(request.body)) {
        responder.respond({400, {}, "not a join"});
        return;
    }
    const auto now = EventLoop::now();
    if (!d_->group->canAnswer(now)) {
        responder.respond(bytes(d_->calls->notLeader().SerializeAsString()));
        return;
    }
    const InstanceId instance(join.instance());
    const std::string ip(ipOf(instance));
    d_->advisers.peerSeen(now, ip);
    Wire::JobReply reply;
    if (join.is_entry()) {
        d_->entries[ip] = now;
        std::erase_if(d_->entries, [now](const auto &entry) { return now > entry.second + entrySeenLimit; });
        // Those that follow in the order of addresses, so that the load of relaying is spread.
        auto other = d_->entries.upper_bound(ip);
        for (std::size_t count = 0; count < std::min(relaysEach, d_->entries.size() - 1); ++count, ++other) {
            if (other == d_->entries.end())
                other = d_->entries.begin();
            reply.add_entries(other->first);
        }
        for (const auto &voter : d_->group->replica().membership().voters)
            reply.add_controls(std::string(ipOf(voter)));
    } else {
        d_->membership->seen(now, instance);
    }
    reply.set_verdict(d_->store.configuration().version() > 0 ? Wire::JOB_VERDICT_ACCEPTED
                                                              : Wire::JOB_VERDICT_UNAVAILABLE);
    responder.respond(bytes(reply.SerializeAsString()));
}

bool JobControl::canAnswer() const
{
    return d_->group->canAnswer(EventLoop::now());
}

std::string JobControl::leaderIp() const
{
    return d_->membership->leaderIp(d_->group->replica());
}

void JobControl::forward(const Transport::Request &request, std::function<void(Transport::Response)> answered)
{
    const auto leader = leaderIp();
    if (leader.empty()) {
        answered({503, {}, {}});
        return;
    }
    Wire::JobForward message;
    message.set_method(request.method);
    message.set_target(request.target);
    message.set_body(request.body);
    d_->peers.call(leader, "/jobs/forward", message.SerializeAsString(), forwardLimit,
                   [answered = std::move(answered)](const Transport::CallResult &result) {
                       Wire::JobForwarded reply;
                       if (!result || !reply.ParseFromString(result.value().body))
                           reply.set_status(503);
                       answered({reply.status(), {{"Content-Type", "application/json"}}, reply.body()});
                   });
}

void JobControl::onForwarded(Transport::RequestHandler handler)
{
    d_->forwarded = std::move(handler);
}

void JobControl::handleForwarded(const Transport::Request &request, const Transport::Responder &responder)
{
    Wire::JobForward message;
    if (!d_->forwarded || !message.ParseFromString(request.body)) {
        responder.respond({400, {}, "not a forwarded request"});
        return;
    }
    Transport::Request inner;
    inner.method = message.method();
    inner.target = message.target();
    inner.body = message.body();
    d_->forwarded(std::move(inner), Transport::Responder([responder](const Transport::Response &response) {
                      Wire::JobForwarded reply;
                      reply.set_status(response.status);
                      reply.set_body(response.body);
                      responder.respond(bytes(reply.SerializeAsString()));
                  }));
}

void JobControl::minionReported(const Jobs::MinionReport &report, std::function<void(bool stored)> stored)
{
    if (!d_->scheduler.isLeading()) {
        stored(false);
        return;
    }
    d_->scheduler.minionReported(momentNow(), report, stored);
    changed();
}

void JobControl::minionLeft(const Jobs::MinionIncarnation &incarnation)
{
    if (d_->scheduler.isLeading())
        d_->scheduler.minionLeft(momentNow(), incarnation);
    changed();
}

void JobControl::configure(const Wire::JobConfiguration &configuration,
                           std::function<void(const Wire::JobReply &)> answered)
{
    Wire::JobCommand command;
    *command.mutable_configuration() = configuration;
    d_->calls->propose(
        EventLoop::now(), command,
        [this, version = configuration.version(), answered = std::move(answered)](const Wire::JobReply &reply) {
            d_->runtime.logger().write(LogLevel::Info, "configuration-received",
                                       {{"version", version},
                                        {"held", d_->store.configuration().version()},
                                        {"verdict", static_cast<int>(reply.verdict())}});
            answered(reply);
        });
    changed();
}

void JobControl::readConfiguration(std::function<void(std::optional<std::string> document)> answered)
{
    // An empty command goes through the log: what is read after it is applied is the newest.
    d_->calls->propose(EventLoop::now(), Wire::JobCommand(),
                       [this, answered = std::move(answered)](const Wire::JobReply &reply) {
                           if (reply.verdict() != Wire::JOB_VERDICT_ACCEPTED) {
                               answered(std::nullopt);
                               return;
                           }
                           answered(d_->store.configuration().document());
                       });
    changed();
}

} // namespace Pistachio::Jobnode
