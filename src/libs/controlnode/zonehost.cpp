#include "controlnode/zonehost.h"

#include "controlnode/zonereport.h"
#include "scheduler/commands.h"
#include "scheduler/zonescheduler.h"
#include "sheet/wirebooking.h"
#include "transport/eventloop.h"

#include <control.pb.h>
#include <entry.pb.h>
#include <zone.pb.h>

#include <chrono>
#include <utility>

namespace Pistachio::Controlnode
{

namespace
{

constexpr Duration proposalLimit = 3s;
constexpr Duration introductionTime = 5s; ///< workers find a new leader within one long poll of 3 s and a reconnect

std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

Wire::ZoneResult failedResult(const Error &error)
{
    Wire::ZoneResult result;
    result.set_message(error.message);
    switch (error.code) {
    case ErrorCode::NotLeader:
        result.set_code(Wire::ZONE_RESULT_NOT_LEADER);
        break;
    case ErrorCode::Unknown:
        result.set_code(Wire::ZONE_RESULT_IN_DOUBT);
        break;
    default:
        result.set_code(Wire::ZONE_RESULT_UNAVAILABLE);
        break;
    }
    return result;
}

const Transport::Response notLeading{421, {}, "this instance no longer leads the zone\n"};

} // namespace

ZoneHost::ZoneHost(ZoneId zone, std::uint64_t seed, LogDecision logDecision)
    : zone_(std::move(zone))
    , logDecision_(std::move(logDecision))
    , cell_(zone_)
    , scheduler_(std::make_unique<Scheduler::ZoneScheduler>(zone_.value(), machine_.state(), seed))
{
}

ZoneHost::~ZoneHost() = default;

Result<void> ZoneHost::open(Storage::GroupOptions options, Storage::FileSystem &fileSystem, std::uint64_t seed)
{
    BOOST_OUTCOME_TRY(host_, Storage::GroupHost::open(std::move(options), fileSystem, machine_, seed));
    machine_.setObservers(
        [this](const Wire::ZoneCommand &command, const Wire::ZoneResult &result) {
            scheduler_->applied(moment(Transport::EventLoop::now()), command, result);
        },
        [this] { scheduler_->stateRestored(moment(Transport::EventLoop::now())); });
    scheduler_->stateRestored(moment(Transport::EventLoop::now()));
    return success();
}

Scheduler::EventContext ZoneHost::moment(TimePoint now) const
{
    return {now, unixMs(), host_->group().hasLeaderLease(now), host_->group().leadershipConfirmedAt(now)};
}

CellFloor ZoneHost::floor() const
{
    return {machine_.state().configurationFloor(), machine_.state().bookingsFloor()};
}

void ZoneHost::followCell(TimePoint now, const Cellstate::CellState &cell)
{
    if (cell_.update(cell, floor()))
        scheduler_->bookingsChanged(moment(now), cell_.bookings(), cell_.configuration());
}

void ZoneHost::workerSync(TimePoint now, const std::string &body, const Transport::Responder &responder)
{
    Wire::WorkerSync sync;
    if (!sync.ParseFromString(body) || sync.worker().empty()) {
        responder.respond({400, {}, "not a worker sync\n"});
        return;
    }
    if (!ledTerm_ || draining_) {
        responder.respond(notLeading);
        return;
    }
    auto &waiting = waiting_[sync.worker()];
    waiting.responder.respond({409, {}, "replaced by a newer sync\n"});
    waiting = {responder, sync.boot_id(), sync.sequence()};
    scheduler_->workerSync(moment(now), sync);
}

void ZoneHost::configurationPoll(TimePoint now, const std::string &body, const Transport::Responder &responder)
{
    Wire::ConfigurationPoll poll;
    if (!poll.ParseFromString(body) || poll.entry().empty()) {
        responder.respond({400, {}, "not a configuration poll\n"});
        return;
    }
    if (!ledTerm_ || draining_) {
        responder.respond(notLeading);
        return;
    }
    feed_.poll(now, poll, responder);
}

void ZoneHost::propose(TimePoint now, Wire::ZoneCommand command, ZoneDone done)
{
    command.set_proposed_unix_ms(unixMs());
    if (!ledTerm_ || !host_->canAnswer(now)) {
        done(failedResult(failure(ErrorCode::Unavailable, "the zone has no leader with a quorum")));
        return;
    }
    host_->propose(now, command.SerializeAsString(), proposalLimit,
                   [done = std::move(done)](Result<std::string> answer) {
                       Wire::ZoneResult result;
                       if (!answer)
                           done(failedResult(answer.error()));
                       else if (result.ParseFromString(answer.value()))
                           done(result);
                       else
                           done(failedResult(failure(ErrorCode::Unknown, "the result can't be read")));
                   });
}

void ZoneHost::proposeOwn(TimePoint now, Wire::ZoneCommand command)
{
    command.set_proposed_unix_ms(unixMs());
    auto bytes = command.SerializeAsString();
    // Applied commands and the loss of leadership reach the scheduler on their own ways; only a refusal has no other.
    host_->propose(now, std::move(bytes), Duration::zero(),
                   [this, now, command = std::move(command)](const Result<std::string> &answer) {
                       if (!answer && answer.error().code != ErrorCode::Unknown)
                           scheduler_->proposalRejected(moment(now), command);
                   });
}

void ZoneHost::tick(TimePoint now, const Cellstate::CellState &cell)
{
    host_->tick(now);
    followCell(now, cell);
    keepFloor(now);
    followLeadership(now);
    scheduler_->tick(moment(now));
    if (ledTerm_) {
        reportSilentEntries(now);
        feed_.answer(now, {machine_.state().configurationFloor(), &cell_.configuration()});
    }
    carryOut(now);
}

void ZoneHost::followLeadership(TimePoint now)
{
    const auto &group = host_->group();
    if (ledTerm_ && (!group.isLeader() || group.term() != *ledTerm_)) {
        const auto term = *std::exchange(ledTerm_, std::nullopt);
        scheduler_->leadershipChanged(moment(now), term, false);
        releaseWaiting();
    }
    // A leader behind the floor would end or restart work by a sheet that was replaced.
    if (!ledTerm_ && group.isLeaderWithState() && cell_.isCurrent(floor())) {
        ledTerm_ = group.term();
        ledSince_ = now;
        release_.reset();
        const auto claiming = machine_.state().requests().claimingEntries();
        feed_.start(now, {claiming.begin(), claiming.end()});
        scheduler_->leadershipChanged(moment(now), *ledTerm_, true);
    }
}

void ZoneHost::releaseWaiting()
{
    const auto waiting = std::exchange(waiting_, {});
    for (const auto &[worker, sync] : waiting)
        sync.responder.respond(notLeading);
    feed_.stop(notLeading);
}

void ZoneHost::drain()
{
    draining_ = true;
    releaseWaiting();
}

void ZoneHost::keepFloor(TimePoint now)
{
    // This comes before followLeadership() lets the instance lead: what it holds may skip the state of the floor, and
    // then only a newer floor brings it into force.
    const auto wanted = cell_.wanted();
    if (!wanted || isFloorProposed_ || !host_->canAnswer(now))
        return;
    isFloorProposed_ = true;
    Wire::ZoneCommand command;
    command.set_proposed_unix_ms(unixMs());
    command.mutable_configuration_floor()->set_version(wanted->configuration);
    command.mutable_configuration_floor()->set_bookings_revision(wanted->bookings);
    host_->propose(now, command.SerializeAsString(), proposalLimit,
                   [this](const Result<std::string> &) { isFloorProposed_ = false; });
}

void ZoneHost::reportSilentEntries(TimePoint now)
{
    if (!host_->canAnswer(now))
        return;
    const auto silent = feed_.takeSilent(now);
    if (silent.empty())
        return;
    Wire::ZoneCommand command;
    for (const auto &entry : silent)
        command.mutable_entries_silent()->add_entries(entry);
    proposeOwn(now, std::move(command));
}

std::vector<BookingId> ZoneHost::releasable(TimePoint now, const Cellstate::CellState &cell)
{
    // The scheduler may still act on a sheet that has the booking.
    if (!ledTerm_ || !host_->canAnswer(now) || !cell_.isLatest(cell))
        return {};
    return release_.find(zone_, cell, machine_.state().tasks(), host_->lastProposed(), host_->group().appliedIndex());
}

void ZoneHost::carryOut(TimePoint now)
{
    auto commands = scheduler_->takeCommands();
    for (auto &proposal : commands.proposals)
        proposeOwn(now, std::move(proposal));
    answerWorkers(commands);
    for (const auto &decision : commands.decisions)
        logDecision_(zone_, decision);
}

void ZoneHost::answerWorkers(Scheduler::Commands &commands)
{
    for (const auto &answer : commands.answers) {
        const auto found = waiting_.find(answer.worker.value());
        if (found == waiting_.end() || found->second.bootId != answer.orders.boot_id()
            || found->second.sequence != answer.orders.answered_sequence())
            continue;
        found->second.responder.respond({200, {}, answer.orders.SerializeAsString()});
        waiting_.erase(found);
    }
}

void ZoneHost::report(TimePoint now, const Cellstate::CellState &cell, Wire::ZoneReport &report) const
{
    if (!ledTerm_ || !host_->canAnswer(now))
        return;
    fillZoneReport(now, zone_, cell, machine_.state(), *scheduler_, report);
    report.set_workers_known(now - ledSince_ > introductionTime);
    for (const auto &entry : feed_.versions()) {
        auto &item = *report.add_entries();
        item.set_entry(entry.entry);
        item.set_configuration_version(entry.version);
        item.set_reachable(entry.reachable);
    }
}

} // namespace Pistachio::Controlnode
