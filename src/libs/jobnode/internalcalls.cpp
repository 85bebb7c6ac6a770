#include "jobnode/internalcalls.h"

#include "jobnode/advicerequests.h"
#include "jobnode/adviserpool.h"
#include "jobnode/groupmembership.h"
#include "jobnode/instanceid.h"
#include "jobnode/jobcalls.h"
#include "jobnode/jobgroup.h"
#include "jobnode/noderuntime.h"
#include "jobnode/ordercarrier.h"
#include "jobnode/orderrelay.h"
#include "jobnode/reportbatch.h"
#include "jobs/jobstore.h"

#include <jobs.pb.h>

#include <algorithm>
#include <utility>

namespace Pistachio::Jobnode
{

using Logging::LogLevel;
using Transport::EventLoop;

namespace
{

constexpr Duration entrySeenLimit = 3s;
constexpr std::size_t relaysEach = 3; ///< entries named to another one, in case it loses the way to the leader
constexpr std::size_t loggedIdBytes = 100;

Transport::Response bytes(std::string body)
{
    return {200, {{"Content-Type", "application/x-protobuf"}}, std::move(body)};
}

} // namespace

InternalCalls::InternalCalls(Instance instance)
    : instance_(std::move(instance))
{
}

void InternalCalls::handle(const Transport::Request &request, const Transport::Responder &responder)
{
    if (request.target == "/jobs/replication") {
        for (const auto &refused : instance_.group.receive(EventLoop::now(), request.body))
            instance_.runtime.logger().write(LogLevel::Warning, "replication-unreadable",
                                             {{"bytes", request.body.size()}, {"reason", refused.message}});
        responder.respond({204, {}, {}});
        instance_.changed();
    } else if (request.target == "/jobs/call") {
        handleCall(request, responder);
    } else if (request.target == "/jobs/join") {
        handleJoin(request, responder);
    } else if (request.target == "/jobs/forward") {
        handleForwarded(request, responder);
    } else if (request.target == "/jobs/reports") {
        answerReportBatch(instance_.runtime.loop(), request.body, instance_.minionReported, responder);
    } else if (request.target == "/jobs/orders") {
        responder.respond(instance_.carrier.take(request.body, instance_.group.replica().term()));
    } else if (request.target == "/jobs/order-answers") {
        responder.respond({instance_.orders.takeAnswers(request.body) ? 204 : 400, {}, {}});
    } else if (request.target == "/jobs/advice") {
        answerAdviceRequest(instance_.advice, request, responder);
    } else {
        responder.respond({404, {}, {}});
    }
}

void InternalCalls::handleCall(const Transport::Request &request, const Transport::Responder &responder)
{
    Wire::JobCall call;
    if (!call.ParseFromString(request.body)) {
        responder.respond({400, {}, "not a job call"});
        return;
    }
    const auto begun = EventLoop::now();
    instance_.calls.handle(begun, call, [this, call, begun, responder](const Wire::JobReply &reply) {
        logCall(call, reply, EventLoop::now() - begun);
        responder.respond(bytes(reply.SerializeAsString()));
    });
    instance_.changed();
}

void InternalCalls::logCall(const Wire::JobCall &call, const Wire::JobReply &reply, Duration took)
{
    const std::string_view kind = call.has_submission() ? "submit" : call.cancel() ? "cancel" : "read";
    auto &metrics = instance_.runtime.metrics();
    metrics.add("job_calls_total{kind=\"" + std::string(kind) + "\",verdict=\"" + std::to_string(reply.verdict())
                + "\"}");
    if (kind == "read")
        return;
    metrics.observe("job_" + std::string(kind) + "_seconds", static_cast<double>(took.count()) / 1e6);
    instance_.runtime.logger().write(LogLevel::Info, kind == "submit" ? "job-submitted" : "job-cancelled",
                                     {{"path", call.path()},
                                      {"verdict", static_cast<int>(reply.verdict())},
                                      {"reason", reply.reason()},
                                      {"configuration", instance_.store.configuration().version()},
                                      {"term", instance_.group.replica().term()},
                                      {"took_ms", took / 1ms}});
}

void InternalCalls::handleJoin(const Transport::Request &request, const Transport::Responder &responder)
{
    Wire::JobJoin join;
    if (!join.ParseFromString(request.body)) {
        responder.respond({400, {}, "not a join"});
        return;
    }
    const auto now = EventLoop::now();
    if (!instance_.group.canAnswer(now)) {
        responder.respond(bytes(instance_.calls.notLeader().SerializeAsString()));
        return;
    }
    const InstanceId instance(join.instance());
    if (!isReachable(instance)) {
        refuseAnnouncement(join.instance(), responder);
        return;
    }
    if (join.leaves()) {
        handleLeave(instance, responder);
        return;
    }
    const std::string ip(ipOf(instance));
    instance_.advisers.peerSeen(now, ip);
    Wire::JobReply reply;
    if (join.is_entry()) {
        entries_[ip] = now;
        std::erase_if(entries_, [now](const auto &entry) { return now > entry.second + entrySeenLimit; });
        // Those that follow in the order of addresses, so that the load of relaying is spread.
        auto other = entries_.upper_bound(ip);
        for (std::size_t count = 0; count < std::min(relaysEach, entries_.size() - 1); ++count, ++other) {
            if (other == entries_.end())
                other = entries_.begin();
            reply.add_entries(other->first);
        }
        for (const auto &voter : instance_.group.replica().membership().voters)
            reply.add_controls(std::string(ipOf(voter)));
    } else {
        instance_.membership.seen(now, instance);
    }
    reply.set_verdict(instance_.store.configuration().version() > 0 ? Wire::JOB_VERDICT_ACCEPTED
                                                                    : Wire::JOB_VERDICT_UNAVAILABLE);
    responder.respond(bytes(reply.SerializeAsString()));
}

void InternalCalls::refuseAnnouncement(std::string_view instance, const Transport::Responder &responder)
{
    instance_.runtime.logger().write(LogLevel::Warning, "announcement-refused",
                                     {{"instance", instance.substr(0, loggedIdBytes)},
                                      {"bytes", instance.size()},
                                      {"reason", "its id doesn't begin with an IP address, or is too long"}});
    responder.respond({400, {}, "not an instance id"});
}

void InternalCalls::handleLeave(const InstanceId &instance, const Transport::Responder &responder)
{
    const bool mayLeave
        = instance_.membership.mayLeave(EventLoop::now(), instance_.ledSince, instance_.group.replica(), instance);
    Wire::JobReply reply;
    reply.set_verdict(mayLeave ? Wire::JOB_VERDICT_ACCEPTED : Wire::JOB_VERDICT_UNAVAILABLE);
    responder.respond(bytes(reply.SerializeAsString()));
}

void InternalCalls::handleForwarded(const Transport::Request &request, const Transport::Responder &responder)
{
    Wire::JobForward message;
    if (!instance_.forwarded || !message.ParseFromString(request.body)) {
        responder.respond({400, {}, "not a forwarded request"});
        return;
    }
    Transport::Request inner;
    inner.method = message.method();
    inner.target = message.target();
    inner.body = message.body();
    instance_.forwarded(std::move(inner), Transport::Responder([responder](const Transport::Response &response) {
                            Wire::JobForwarded reply;
                            reply.set_status(response.status);
                            reply.set_body(response.body);
                            responder.respond(bytes(reply.SerializeAsString()));
                        }));
}

} // namespace Pistachio::Jobnode
