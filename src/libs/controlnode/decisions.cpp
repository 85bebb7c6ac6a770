#include "controlnode/decisions.h"

#include "controlnode/network.h"
#include "logging/logger.h"
#include "metrics/registry.h"
#include "scheduler/decisionrecord.h"
#include "settings/controlsettings.h"

#include <cell.pb.h>
#include <control.pb.h>

#include <algorithm>
#include <map>
#include <span>
#include <utility>

namespace Pistachio::Controlnode
{

using namespace Transport;

namespace
{

constexpr std::size_t eventsPerRound = 256; ///< bounds the time until the next write and heartbeat
constexpr int flushesPerRound = 4; ///< a proposal that another one led to should not wait for the next round
constexpr Duration statusInterval = 1s;
constexpr std::string_view operatorPrefix = "/operator";
const GroupId cellGroup{"cell"};

GroupId zoneGroup(const ZoneId &zone)
{
    return GroupId("zone:" + zone.value());
}

bool contains(const std::vector<InstanceId> &instances, const InstanceId &instance)
{
    return std::find(instances.begin(), instances.end(), instance) != instances.end();
}

} // namespace

Decisions::Decisions(const Settings::ControlSettings &settings, Storage::FileSystem &fileSystem, EventRing &events,
                     Network &network, Logging::Logger &logger, Metrics::Registry &metrics)
    : settings_(settings)
    , events_(events)
    , network_(network)
    , logger_(logger)
    , metrics_(metrics)
    , fileSystem_(fileSystem)
    , directory_(settings)
    , calls_(network)
    , router_(settings.zone, zones_, directory_, calls_)
    , reports_(settings.instance, directory_, calls_,
               {[this](Wire::ControlReport &report) { fillReport(report); }, [this] { return status(); }})
{
}

Decisions::~Decisions() = default;

Result<void> Decisions::open()
{
    BOOST_OUTCOME_TRYV(openCell());
    BOOST_OUTCOME_TRYV(openZones());
    operators_
        = std::make_unique<OperatorRequests>(cellMachine_.state(), *cell_, reports_, router_, directory_, calls_);
    upkeep_ = std::make_unique<Upkeep>(*cell_, zones_, directory_, calls_);
    return success();
}

Result<void> Decisions::openCell()
{
    auto options = groupOptions(cellGroup);
    if (options.initialMembers.voters.empty())
        return failure(ErrorCode::InvalidArgument, "the settings have no group \"cell\"");
    BOOST_OUTCOME_TRY(cell_, Storage::GroupHost::open(std::move(options), fileSystem_, cellMachine_, seed("cell")));
    return success();
}

Result<void> Decisions::openZones()
{
    constexpr std::string_view prefix = "zone:";
    for (const auto &group : settings_.groups) {
        const bool isMember
            = contains(group.voters, settings_.instance) || contains(group.learners, settings_.instance);
        if (!isMember || !group.name.value().starts_with(prefix))
            continue;
        const ZoneId zone(group.name.value().substr(prefix.size()));
        auto host
            = std::make_unique<ZoneHost>(zone, seed("scheduler"), [this](const ZoneId &where, const auto &decision) {
                  logDecision(where, decision);
              });
        BOOST_OUTCOME_TRYV(host->open(groupOptions(group.name), fileSystem_, seed(group.name.value())));
        zones_[zone] = std::move(host);
    }
    return success();
}

Storage::GroupOptions Decisions::groupOptions(const GroupId &group) const
{
    Storage::GroupOptions options;
    options.group = group;
    options.self = settings_.instance;
    auto folder = group.value();
    std::replace(folder.begin(), folder.end(), ':', '-');
    options.folder = settings_.dataFolder + '/' + folder;
    for (const auto &item : settings_.groups) {
        if (item.name == group)
            options.initialMembers = {item.voters, item.learners};
    }
    return options;
}

std::uint64_t Decisions::seed(std::string_view purpose) const
{
    // Instances must not draw the same election timeouts.
    return std::hash<std::string>{}(settings_.instance.value() + ' ' + std::string(purpose));
}

int Decisions::run()
{
    while (!stopping_) {
        auto event = events_.pop();
        for (std::size_t count = 0; event && count < eventsPerRound; ++count) {
            handle(*event);
            event = events_.tryPop();
        }
        if (event)
            handle(*event);
        tick(EventLoop::now());
        flushGroups();
        updateStatus(EventLoop::now());
        network_.decisionRoundDone();
        if (hasFailedGroup())
            return 1;
    }
    return 0;
}

void Decisions::handle(Event &event)
{
    if (auto *request = std::get_if<IncomingRequest>(&event)) {
        handle(*request);
    } else if (auto *answer = std::get_if<PeerAnswer>(&event)) {
        calls_.answered(std::move(*answer));
    } else if (std::holds_alternative<DrainRequested>(event)) {
        for (const auto &[id, zone] : zones_)
            zone->drain();
    } else if (std::holds_alternative<StopRequested>(event)) {
        stopping_ = true;
    }
}

void Decisions::handle(IncomingRequest &incoming)
{
    const auto now = EventLoop::now();
    auto &request = incoming.request;
    if (incoming.port == Port::Operator) {
        operators_->serve(now, std::move(request), false, incoming.responder);
    } else if (incoming.port == Port::Worker) {
        router_.serveWorker(now, request, incoming.responder);
    } else if (request.target == "/replication") {
        receiveReplication(request.body);
    } else if (request.target == "/control/view") {
        Wire::ControlReport report;
        fillReport(report);
        incoming.responder.respond({200, {}, report.SerializeAsString()});
    } else if (request.target == "/cell/propose") {
        upkeep_->serve(now, request, incoming.responder);
    } else if (request.target.starts_with("/zone/")) {
        router_.serveInternal(now, std::move(request), incoming.responder);
    } else if (request.target.starts_with(operatorPrefix)) {
        request.target.erase(0, operatorPrefix.size());
        operators_->serve(now, std::move(request), true, incoming.responder);
    } else {
        incoming.responder.respond({404, {}, "no such internal request\n"});
    }
}

Storage::GroupHost *Decisions::findGroup(const GroupId &group)
{
    if (group == cellGroup)
        return cell_.get();
    for (const auto &[id, zone] : zones_) {
        if (zoneGroup(id) == group)
            return &zone->host();
    }
    return nullptr;
}

void Decisions::receiveReplication(const std::string &body)
{
    const auto messages = Replication::decode(body);
    if (!messages) {
        logger_.write(Logging::LogLevel::Warning, "replication-message-refused",
                      {{"reason", messages.error().message}});
        return;
    }
    for (const auto &refused : messages.value().refused)
        logger_.write(Logging::LogLevel::Warning, "replication-message-refused", {{"reason", refused.message}});
    for (const auto &message : messages.value().messages) {
        if (auto *group = findGroup(message.group))
            group->receive(EventLoop::now(), message);
    }
}

void Decisions::tick(TimePoint now)
{
    calls_.tick(now);
    cell_->tick(now);
    for (const auto &[id, zone] : zones_)
        zone->tick(now, cellMachine_.state());
    upkeep_->tick(now, cellMachine_.state());
}

void Decisions::flushGroups()
{
    for (int count = 0; count < flushesPerRound; ++count) {
        bool ended = flushGroup(*cell_);
        for (const auto &[id, zone] : zones_) {
            ended = flushGroup(zone->host()) || ended;
            zone->carryOut(EventLoop::now());
        }
        if (!ended)
            return;
    }
}

bool Decisions::flushGroup(Storage::GroupHost &group)
{
    return group.flush(EventLoop::now(),
                       [this](std::vector<Replication::Message> messages) { sendMessages(std::move(messages)); });
}

void Decisions::sendMessages(std::vector<Replication::Message> messages)
{
    std::map<InstanceId, std::vector<Replication::Message>> byReceiver;
    for (auto &message : messages)
        byReceiver[message.to].push_back(std::move(message));
    for (const auto &[to, batch] : byReceiver) {
        if (const auto *instance = directory_.find(to))
            calls_.send(instance->internal, {"POST", "/replication", {}, Replication::encode(batch)});
    }
}

bool Decisions::hasFailedGroup() const
{
    const auto report = [this](const std::string &group, const std::optional<Error> &error) {
        if (error) {
            logger_.write(Logging::LogLevel::Error, "replica-failed",
                          {{"group", group},
                           {"reason", error->message},
                           {"action", "the process stops, since it can't be told what its disk holds"}});
        }
        return error.has_value();
    };
    bool failed = report("cell", cell_->group().failure());
    for (const auto &[id, zone] : zones_)
        failed = report(zoneGroup(id).value(), zone->host().group().failure()) || failed;
    return failed;
}

void Decisions::updateStatus(TimePoint now)
{
    if (cellMachine_.state().instances().size() != seenInstances_) {
        seenInstances_ = cellMachine_.state().instances().size();
        directory_.update(cellMachine_.state());
    }
    std::string leaders = cell_->group().leaderHint().value();
    bool ready = !leaders.empty();
    for (const auto &[id, zone] : zones_) {
        const auto leader = zone->host().group().leaderHint().value();
        ready = ready && !leader.empty();
        leaders += ' ' + leader;
    }
    network_.setReady(ready);
    if (leaders != loggedLeaders_) {
        loggedLeaders_ = leaders;
        logger_.write(Logging::LogLevel::Info, "leaders-changed",
                      {{"cell_leader", cell_->group().leaderHint().value()}, {"all", leaders}});
    }
    if (now - statusUpdated_ < statusInterval)
        return;
    statusUpdated_ = now;
    metrics_.set("cell_term", static_cast<double>(cell_->group().term()));
    metrics_.set("cell_applied_index", static_cast<double>(cell_->group().appliedIndex()));
    metrics_.set("cell_is_leader", cell_->group().isLeader() ? 1 : 0);
    const auto &cellVoters = cell_->group().membership().voters;
    metrics_.set("cell_voters", static_cast<double>(cellVoters.size()));
    metrics_.set("cell_is_voter", contains(cellVoters, settings_.instance) ? 1 : 0);
    for (const auto &[id, zone] : zones_) {
        const auto label = "{zone=\"" + id.value() + "\"}";
        metrics_.set("zone_term" + label, static_cast<double>(zone->host().group().term()));
        metrics_.set("zone_applied_index" + label, static_cast<double>(zone->host().group().appliedIndex()));
        metrics_.set("zone_is_leader" + label, zone->host().group().isLeader() ? 1 : 0);
        const auto &voters = zone->host().group().membership().voters;
        metrics_.set("zone_voters" + label, static_cast<double>(voters.size()));
        metrics_.set("zone_is_voter" + label, contains(voters, settings_.instance) ? 1 : 0);
    }
}

void Decisions::logDecision(const ZoneId &zone, const Scheduler::DecisionRecord &decision)
{
    metrics_.add("decisions_total{action=\"" + decision.action + "\"}");
    logger_.write(Logging::LogLevel::Info, "placement-decision",
                  {{"zone", zone.value()},
                   {"action", decision.action},
                   {"task", decision.task.toString()},
                   {"incarnation", decision.incarnation},
                   {"worker", decision.worker.value()},
                   {"policy", decision.policy},
                   {"score", decision.score},
                   {"candidates", decision.candidates},
                   {"reason", decision.reason}});
}

std::string Decisions::cellRole() const
{
    if (cell_->group().isLeader())
        return "leader";
    return contains(cell_->group().membership().voters, settings_.instance) ? "voter" : "learner";
}

void Decisions::fillReport(Wire::ControlReport &report) const
{
    const auto now = EventLoop::now();
    const auto &state = cellMachine_.state();
    report.set_instance(settings_.instance.value());
    report.set_role(cellRole());
    report.set_sheet_version(state.sheetVersion());
    report.set_configuration_version(state.configuration().version());
    for (const auto &[id, zone] : zones_) {
        Wire::ZoneReport item;
        zone->report(now, state, item);
        if (item.zone().empty())
            continue;
        item.set_leader(settings_.instance.value());
        *report.add_zones() = std::move(item);
    }
}

Operatorapi::StatusView Decisions::status() const
{
    Operatorapi::StatusView view;
    view.answeredBy = settings_.instance;
    view.cellLeader = cell_->group().leaderHint();
    if (const auto *leader = directory_.find(view.cellLeader))
        view.leaderAddress = leader->operators.toString();
    view.term = cell_->group().term();
    view.appliedIndex = cell_->group().appliedIndex();
    return view;
}

} // namespace Pistachio::Controlnode
