#include "jobnode/jobcontrol.h"

#include "jobnode/fleetsize.h"
#include "jobnode/jobcontrolprivate.h"
#include "jobnode/reportplacement.h"

#include <jobs.pb.h>

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

} // namespace

JobControl::JobControl(const Settings::JobSettings &settings, NodeRuntime &runtime, MinionClient &minions,
                       AdviceClient &advice)
    : d_(std::make_unique<Private>(settings, runtime, minions, advice, *this))
{
}

JobControl::~JobControl()
{
    // They outlive this, and their answers must not.
    d_->minions.close();
    d_->advice.close();
}

Result<void> JobControl::open()
{
    const auto &settings = d_->settings;
    const auto seeds = settings.seedIps();
    const bool bootstrap = settings.bootstrap && canFoundGroup(seeds.size(), seeds.size() + settings.warnings.size());
    BOOST_OUTCOME_TRY(const auto identity, loadIdentity(d_->files, settings.dataFolder, settings.ip, seeds, bootstrap));
    BOOST_OUTCOME_TRY(d_->group, JobGroup::open(d_->files, settings.dataFolder, identity, d_->store, d_->peers, [this] {
                          d_->runtime.loop().post([this] { flush(); });
                      }));
    d_->membership
        = std::make_unique<GroupMembership>(identity.id, seeds, 2 * settings.toleratedLosses + 1, settings.catchUpTime);
    d_->calls = std::make_unique<JobCalls>(d_->store, d_->scheduler, *d_->group, [] { return NodeRuntime::unixMs(); });
    d_->internalCalls = std::make_unique<InternalCalls>(
        InternalCalls::Instance{d_->runtime, d_->advice, d_->store, *d_->group, *d_->calls, *d_->membership,
                                d_->advisers, d_->minions, d_->carrier, d_->ledSince, d_->forwarded,
                                [this](const Jobs::MinionReport &report, const std::function<void(bool)> &stored) {
                                    takeRelayedReport(report, stored);
                                },
                                [this] { changed(); }});
    BOOST_OUTCOME_TRY(const auto port, d_->server.listen({settings.localIp(), settings.internalPort}));
    d_->runtime.logger().write(LogLevel::Info, "started",
                               {{"id", identity.id.value()},
                                {"internal_port", port},
                                {"bootstrap", bootstrap},
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

std::size_t JobControl::internalConnections() const
{
    return d_->server.connections();
}

void JobControl::scheduleTick()
{
    const auto interval = d_->scheduler.isLeading() ? leaderTick : followerTick;
    d_->tickTimer = d_->runtime.loop().callAfter(interval, [this, due = EventLoop::now() + interval] {
        d_->loopLateness.record(due, EventLoop::now());
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
    if (d_->scheduler.isLeading() && d_->group->canAnswer(moment.time)) {
        d_->minions.tick(carriers());
        d_->scheduler.tick(moment);
    }
    changeMembers();
    announce();
    flush();
    handOverOrders();
    d_->groupReport.update(now, d_->ledSince, d_->group->replica());
    d_->teamReport.update(now, d_->scheduler);
    d_->copyMetrics.update(d_->scheduler.copyCounts());
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
    handOverOrders();
    d_->lastFlush = EventLoop::now();
    d_->flushPosted = false;
}

void JobControl::handOverOrders()
{
    if (d_->scheduler.isLeading() && d_->group->canAnswer(EventLoop::now()))
        d_->minions.flush();
    else
        d_->minions.dropUnsent();
}

std::vector<std::string> JobControl::carriers() const
{
    std::vector<std::string> result;
    if (!isLargeFleet(d_->store.minions().size()))
        return result;
    for (const auto &member : d_->group->replica().memberStatus(EventLoop::now()))
        result.emplace_back(ipOf(member.instance));
    return result;
}

void JobControl::flush()
{
    d_->group->flush(EventLoop::now());
    followLeadership();
    if (const auto postponed = d_->group->takePostponedSnapshot())
        d_->runtime.logger().write(LogLevel::Warning, "snapshot-postponed", {{"reason", postponed->message}});
    if (const auto &failure = d_->group->replica().failure()) {
        d_->runtime.logger().write(LogLevel::Error, "replica-failed", {{"reason", failure->message}});
        d_->runtime.loop().stop();
    }
}

void JobControl::followLeadership()
{
    const auto &replica = d_->group->replica();
    const bool leads = d_->group->isLeaderWithState();
    if (d_->scheduler.isLeading() && (!leads || replica.term() != d_->ledTerm)) {
        d_->scheduler.loseLeadership();
        d_->minions.resign();
    }
    if (leads && !d_->scheduler.isLeading()) {
        d_->ledTerm = replica.term();
        d_->ledSince = EventLoop::now();
        d_->minions.lead(replica.term());
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

void JobControl::minionReported(const Jobs::MinionReport &report, std::function<void(bool stored)> stored)
{
    if (!canAnswer() || !d_->scheduler.isLeading()) {
        const auto leader = leaderIp();
        d_->reportRelay.add(leader == d_->settings.ip ? std::string() : leader, report, std::move(stored));
        return;
    }
    d_->scheduler.minionReported(momentNow(), report, stored);
    changed();
}

/// A report is carried once only, so that two instances that hold each other for the leader pass none to and fro.
void JobControl::takeRelayedReport(const Jobs::MinionReport &report, const std::function<void(bool)> &stored)
{
    if (canAnswer())
        minionReported(report, stored);
    else
        stored(false);
}

std::string JobControl::reportIp(const std::string &minion) const
{
    const auto minions = d_->store.minions().size();
    if (!d_->scheduler.isLeading())
        return isLargeFleet(minions) ? d_->settings.ip : leaderIp();
    const auto members = d_->group->replica().memberStatus(EventLoop::now());
    return placeReports(minion, minions, members).value_or(d_->settings.ip);
}

void JobControl::minionLeft(const Jobs::MinionIncarnation &incarnation, std::function<void(bool confirmed)> confirmed)
{
    d_->scheduler.minionLeft(momentNow(), incarnation, std::move(confirmed));
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
