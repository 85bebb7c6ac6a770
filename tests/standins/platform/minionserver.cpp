#include "platform/minionserver.h"

#include "platform/jsonfields.h"
#include "platform/runobserver.h"
#include "platform/taskformat.h"

#include <nlohmann/json.hpp>

namespace Pistachio::Standin
{

using namespace Jobs;
using nlohmann::json;
using Transport::EventLoop;

namespace
{

constexpr Duration tickInterval = 10ms;
constexpr Duration reportInterval = 400ms;
constexpr Duration reportTimeout = 1s;
constexpr Duration lateOrderDelay = 2s; ///< of orders for the life before

const char *reasonOf(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::StaleFencingToken:
        return "fence";
    case OrderOutcome::StaleRun:
        return "old";
    case OrderOutcome::LeaseTooShort:
        return "late";
    default:
        return "room";
    }
}

const char *nameOf(RunEnd how)
{
    switch (how) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lapsed";
    case RunEnd::GangMemberEnded:
        return "broken";
    default:
        return "alone";
    }
}

Transport::Response jsonResponse(int status, const json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

MinionFence fenceOf(Platform::JsonFields &fields)
{
    return MinionFence::fromNumber(static_cast<std::uint64_t>(fields.integer("fencingToken")));
}

Transport::Response encode(const OrderAnswer &answer)
{
    json body{{"clockMs", answer.clockMs.value_or(0)}};
    if (answer.outcome == OrderOutcome::Done)
        return jsonResponse(200, body);
    body["reason"] = reasonOf(answer.outcome);
    return jsonResponse(409, body);
}

Transport::Response encode(const LeaseAnswer &answer)
{
    if (answer.outcome != OrderOutcome::Done)
        return encode(OrderAnswer{answer.outcome, answer.clockMs});
    json body{{"clockMs", answer.clockMs.value_or(0)},
              {"born", answer.bornUnixMs},
              {"active", json::array()},
              {"endedRuns", json::array()}};
    for (const auto &run : answer.active)
        body["active"].push_back(
            {Platform::formatTask(run.task), run.run, run.checkpoint, run.percent, run.measurement});
    for (const auto &end : answer.ended)
        body["endedRuns"].push_back(
            {end.number, Platform::formatTask(end.task), end.run, nameOf(end.end), end.checkpoint});
    return jsonResponse(200, body);
}

} // namespace

MinionServer::MinionServer(EventLoop &loop, MinionReport report, Duration runTime, Controls controls, TicketCheck check)
    : loop_(loop)
    , minion_(std::move(report), runTime, 1)
    , controls_(std::move(controls))
    , check_(std::move(check))
    , client_(loop, {})
{
}

Result<void> MinionServer::open()
{
    BOOST_OUTCOME_TRY(const auto address, Transport::Endpoint::parse(minion_.report.address));
    server_ = std::make_unique<Transport::HttpServer>(
        loop_, Transport::HttpServerLimits(),
        [this](const Transport::Request &request, const auto &responder) { handle(request, responder); });
    BOOST_OUTCOME_TRYV(server_->listen(address));
    isRunning_ = true;
    nextReport_ = EventLoop::now();
    tick();
    return success();
}

void MinionServer::crash()
{
    isRunning_ = false;
    ticker_.cancel();
    lateOrders_.cancel();
    server_.reset();
    minion_.restart(EventLoop::now());
}

Result<void> MinionServer::restart()
{
    minion_.report.draining = false;
    isSilent_ = false;
    lateOrders_ = loop_.callAfter(lateOrderDelay, [this] { carryOutDelayed(); });
    return open();
}

void MinionServer::setSilent(bool isSilent)
{
    isSilent_ = isSilent;
    if (!isSilent_)
        carryOutDelayed();
}

void MinionServer::carryOutDelayed()
{
    while (isRunning_ && !delayed_.empty()) {
        carryOut(delayed_.front().first, delayed_.front().second);
        delayed_.pop_front();
    }
}

void MinionServer::setDraining(bool isDraining)
{
    minion_.report.draining = isDraining;
    nextReport_ = EventLoop::now();
}

void MinionServer::handle(const Transport::Request &request, const Transport::Responder &responder)
{
    if (isSilent_)
        delayed_.emplace_back(request, responder);
    else
        carryOut(request, responder);
}

void MinionServer::carryOut(const Transport::Request &request, const Transport::Responder &responder)
{
    if (Transport::headerValue(request.headers, "Expected-Instance") != minion_.report.incarnation.id) {
        responder.respond(jsonResponse(421, json::object()));
        return;
    }
    if (request.target == "/pistachioworks/hold") {
        hold(request, responder);
        return;
    }
    const auto body = Platform::parseObject(request.body);
    if (!body) {
        responder.respond(jsonResponse(400, json::object()));
        return;
    }
    Platform::JsonFields fields(body.value());
    const auto task = Platform::parseTask(fields.text("task"));
    const auto run = static_cast<std::uint64_t>(fields.integer("runId"));
    const auto fence = fenceOf(fields);
    const auto now = EventLoop::now();
    if (!task || !fields.check()) {
        responder.respond(jsonResponse(400, json::object()));
    } else if (request.target == "/pistachioworks/run-start") {
        if (!check_(task->step, minion_.report.incarnation.id, fields.text("ticket"))) {
            responder.respond(jsonResponse(409, json{{"clockMs", minion_.clock(now)}, {"reason", "ticket"}}));
            return;
        }
        StartOrder order{minion_.report.incarnation, minion_.report.address, *task, run,  fields.text("taskSpec"),
                         fields.text("checkpoint"),  fields.text("ticket"),  0,     fence};
        order.leaseExpiresAtMs = fields.integer("expiresAtMs");
        responder.respond(encode(minion_.start(now, order)));
    } else if (request.target == "/pistachioworks/run-stop") {
        responder.respond(
            encode(minion_.stop(now, {minion_.report.incarnation, minion_.report.address, *task, run, fence})));
    } else {
        responder.respond(jsonResponse(404, json::object()));
    }
}

void MinionServer::hold(const Transport::Request &request, const Transport::Responder &responder)
{
    const auto body = Platform::parseObject(request.body);
    if (!body) {
        responder.respond(jsonResponse(400, json::object()));
        return;
    }
    Platform::JsonFields fields(body.value());
    LeaseOrder order;
    order.minion = minion_.report.incarnation;
    order.fence = fenceOf(fields);
    order.acknowledgedEnd = static_cast<std::uint64_t>(fields.integer("ackCursor"));
    order.wait = std::chrono::milliseconds(fields.integer("waitMs"));
    if (fields.has("expiresAtMs"))
        order.leaseExpiresAtMs = fields.integer("expiresAtMs");
    if (!fields.check()) {
        responder.respond(jsonResponse(400, json::object()));
        return;
    }
    minion_.renewLease(EventLoop::now(), order,
                       [responder](const LeaseAnswer &answer) { responder.respond(encode(answer)); });
}

void MinionServer::tick()
{
    const auto now = EventLoop::now();
    minion_.tick(now);
    if (now >= nextReport_ && !isSilent_)
        sendReport();
    ticker_ = loop_.callAfter(tickInterval, [this] { tick(); });
}

void MinionServer::sendReport()
{
    nextReport_ = EventLoop::now() + reportInterval;
    auto &report = minion_.report;
    ++report.sequence;
    const json body{
        {"service", report.service},
        {"address", report.address},
        {"zone", report.zone},
        {"state", report.draining ? "draining" : "ready"},
        {"capacity", {{"cpu", report.milliCores}, {"memMb", report.memoryMb}, {"gpu", report.accelerators}}},
        {"labels", report.labels},
        {"born", report.incarnation.bornUnixMs},
        {"sequence", report.sequence}};
    Transport::Request request;
    request.method = "POST";
    request.target = "/pistachioworks/instances/" + report.incarnation.id + "/heartbeat";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body.dump();
    const auto controls = controls_();
    client_.call(controls[control_ % controls.size()], std::move(request), reportTimeout,
                 [this](const Transport::CallResult &result) {
                     if (!result || result.value().status != 200)
                         ++control_;
                 });
}

} // namespace Pistachio::Standin
