#include "simulation.h"

#include "routing/balancers.h"
#include "routing/slotpolicies.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <tuple>

namespace Pistachio::Benchmark
{

using namespace Routing;

namespace
{

constexpr std::size_t zoneCount = 3;
constexpr std::size_t entriesPerZone = 3;
constexpr std::uint64_t callerCount = 20;
constexpr std::uint32_t minionSlots = 8;
constexpr Duration delayWithinZone = 250us;
constexpr Duration delayBetweenZones = 1ms;
constexpr Duration delayBetweenRegions = 8ms;
constexpr Duration claimDelay = 3ms;
constexpr Duration warmUpTime = 4s;
constexpr Duration measurementTime = 10s;

std::size_t zoneOf(std::size_t entry)
{
    return entry / entriesPerZone;
}

std::size_t regionOf(std::size_t zone)
{
    return zone / 2;
}

Duration networkDelay(std::size_t fromEntry, std::size_t toEntry)
{
    const std::size_t from = zoneOf(fromEntry);
    const std::size_t to = zoneOf(toEntry);
    if (from == to)
        return delayWithinZone;
    return regionOf(from) == regionOf(to) ? delayBetweenZones : delayBetweenRegions;
}

EntryInfo entryInfo(std::size_t entry)
{
    return {InstanceId("entry-" + std::to_string(entry)), ZoneId("zone-" + std::to_string(zoneOf(entry))),
            "region-" + std::to_string(regionOf(zoneOf(entry)))};
}

std::unique_ptr<Balancer> makeBalancer(BalancerKind kind)
{
    switch (kind) {
    case BalancerKind::TwoChoicesByShare:
        return std::make_unique<TwoChoicesByShare>();
    case BalancerKind::TwoChoicesByReport:
        return std::make_unique<TwoChoicesByReport>();
    case BalancerKind::RoundRobin:
        return std::make_unique<RoundRobin>();
    case BalancerKind::Random:
        return std::make_unique<RandomChoice>();
    }
    return nullptr;
}

std::unique_ptr<SlotPolicy> makeSlotPolicy(SlotPolicyKind kind)
{
    switch (kind) {
    case SlotPolicyKind::Shares:
        return std::make_unique<FixedShares>();
    case SlotPolicyKind::Credits:
        return std::make_unique<MinionCredits>();
    case SlotPolicyKind::LoadReports:
        return std::make_unique<LoadReports>();
    case SlotPolicyKind::Connections:
        return std::make_unique<ConnectionShares>();
    }
    return nullptr;
}

const ServiceId service("ordering");

} // namespace

struct Simulation::Event {
    TimePoint time;
    std::uint64_t sequence = 0;
    std::function<void()> action;

    bool operator>(const Event &other) const { return std::tie(time, sequence) > std::tie(other.time, other.sequence); }
};

struct Simulation::Entry {
    std::unique_ptr<Router> router;
    TimePoint scheduledTick = TimePoint::max();
};

/// A caller's request.
struct Simulation::Call {
    TimePoint arrived;
    TimePoint deadline;
    Duration serviceTime{};
    bool counted = false; ///< whether it arrived during the measurement
    bool answered = false;
    bool idempotent = true;
    CallerId caller;
    // Set while the request is forwarded to another entry.
    std::size_t forwardedBy = 0;
    std::size_t forwardedTo = 0;
    AttemptId forwardAttempt;
};

Simulation::Simulation(Scenario scenario, const Variant &variant, std::uint64_t seed)
    : scenario_(std::move(scenario))
    , random_(seed)
    , now_(TimePoint() + 1h)
{
    const bool queuesExcess = variant.slotPolicyKind == SlotPolicyKind::Connections;
    for (std::size_t index = 0; index < scenario_.minions; ++index) {
        Fault fault = Fault::None;
        if (scenario_.faults && index < zoneCount)
            fault = std::array{Fault::Slow, Fault::Failing, Fault::Silent}[index];
        const std::string name = "minion-" + std::to_string(index);
        minionByAddress_[name] = index;
        minions_.emplace_back(MinionAnnouncement{MinionId(name), service, name}, index % zoneCount, fault,
                              queuesExcess);
    }
    std::vector<EntryInfo> entries;
    for (std::size_t index = 0; index < zoneCount * entriesPerZone; ++index)
        entries.push_back(entryInfo(index));
    for (std::size_t index = 0; index < entries.size(); ++index) {
        RouterSettings settings;
        settings.self = entries[index];
        settings.attemptPrefix = entries[index].id.value();
        settings.admissionControl = variant.admissionControl;
        if (!variant.admissionControl)
            settings.maxQueued = std::numeric_limits<std::size_t>::max();
        entries_.push_back(std::make_unique<Entry>());
        entries_.back()->router = std::make_unique<Router>(settings, makeBalancer(variant.balancerKind),
                                                           makeSlotPolicy(variant.slotPolicyKind), seed + index);
        entries_.back()->router->entriesChanged(now_ - 1min, entries);
        entries_.back()->router->tick(now_);
    }
}

Simulation::~Simulation() = default;

void Simulation::schedule(TimePoint time, std::function<void()> action)
{
    events_.push({time, ++sequence_, std::move(action)});
}

Measurement Simulation::run()
{
    const TimePoint end = now_ + warmUpTime + measurementTime + scenario_.timeout + 1s;
    announceMinions();
    reportPeers();
    schedule(now_ + 1s, [this] { generateRequest(); });
    while (!events_.empty() && events_.top().time <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.time;
        event.action();
    }
    for (const SimulatedMinion &minion : minions_)
        measurement_.attemptsAboveSlots += minion.timesAboveSlots();
    const double capacity = static_cast<double>(scenario_.minions * minionSlots)
        * static_cast<double>(measurementTime.count()) / static_cast<double>(scenario_.meanService.count());
    measurement_.goodputShare = static_cast<double>(measurement_.answeredInTime) / capacity;
    std::ranges::sort(waits_);
    if (!waits_.empty()) {
        measurement_.waitP50 = waits_[waits_.size() / 2];
        measurement_.waitP99 = waits_[waits_.size() * 99 / 100];
    }
    return measurement_;
}

void Simulation::announceMinions()
{
    for (SimulatedMinion &minion : minions_) {
        for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
            if (zoneOf(entry) != minion.zone())
                continue;
            entries_[entry]->router->minionAnnounced(now_, minion.announce(entry, entriesPerZone));
            process(entry);
        }
        minion.endCreditRound();
    }
    schedule(now_ + 2s, [this] { announceMinions(); });
}

void Simulation::reportPeers()
{
    for (std::size_t from = 0; from < entries_.size(); ++from) {
        const PeerReport report{entryInfo(from), false, entries_[from]->router->loads()};
        for (std::size_t to = 0; to < entries_.size(); ++to) {
            if (from == to)
                continue;
            schedule(now_ + networkDelay(from, to),
                     [this, to, report] { entries_[to]->router->peerReported(now_, report); });
        }
    }
    schedule(now_ + 1s, [this] { reportPeers(); });
}

Duration Simulation::drawExponential(Duration mean)
{
    const double value = -std::log(1.0 - random_.fraction()) * static_cast<double>(mean.count());
    return std::max<Duration>(Duration(1), Duration(static_cast<Duration::rep>(value)));
}

std::size_t Simulation::drawEntry()
{
    std::size_t zone = random_.below(zoneCount);
    if (scenario_.skewedZones && random_.fraction() < 0.25)
        zone = 0;
    std::size_t entry = random_.below(entriesPerZone);
    if (scenario_.skewedEntries && random_.fraction() < 0.25)
        entry = 0;
    return zone * entriesPerZone + entry;
}

void Simulation::generateRequest()
{
    const auto slots = static_cast<double>(scenario_.minions * minionSlots);
    const auto meanInterval = static_cast<double>(scenario_.meanService.count()) / slots / scenario_.load;
    constexpr double nonIdempotentShare = 0.1;
    const TimePoint start = TimePoint() + 1h + warmUpTime;
    const std::string id = "request-" + std::to_string(++callCount_);
    Call call;
    call.arrived = now_;
    call.deadline = now_ + scenario_.timeout;
    call.serviceTime = drawExponential(scenario_.meanService);
    call.counted = now_ >= start && now_ < start + measurementTime;
    call.idempotent = random_.fraction() >= nonIdempotentShare;
    call.caller = CallerId("caller-" + std::to_string(random_.below(callerCount)));
    if (call.counted)
        ++measurement_.requests;
    const std::size_t entry = drawEntry();
    const Request request{RequestId(id), call.caller,     service,
                          call.deadline, call.idempotent, call.idempotent ? std::string() : id,
                          "fingerprint"};
    calls_.emplace(id, std::move(call));
    entries_[entry]->router->requestArrived(now_, request);
    process(entry);
    schedule(now_ + drawExponential(Duration(std::max<Duration::rep>(1, std::llround(meanInterval)))), [this] {
        if (now_ < TimePoint() + 1h + warmUpTime + measurementTime)
            generateRequest();
    });
}

void Simulation::process(std::size_t entry)
{
    for (const Command &command : entries_[entry]->router->takeCommands())
        execute(entry, command);
    scheduleTick(entry);
}

void Simulation::scheduleTick(std::size_t entry)
{
    const TimePoint next = entries_[entry]->router->nextTick();
    if (next >= entries_[entry]->scheduledTick)
        return;
    entries_[entry]->scheduledTick = next;
    schedule(std::max(next, now_), [this, entry, next] {
        if (entries_[entry]->scheduledTick != next)
            return;
        entries_[entry]->scheduledTick = TimePoint::max();
        entries_[entry]->router->tick(now_);
        process(entry);
    });
}

void Simulation::execute(std::size_t entry, const Command &command)
{
    if (const auto *send = std::get_if<SendCommand>(&command))
        sendToMinion(entry, *send);
    else if (const auto *handOver = std::get_if<ForwardCommand>(&command))
        forward(entry, *handOver);
    else if (const auto *cancel = std::get_if<CancelCommand>(&command))
        closeAttempt(cancel->attempt);
    else if (const auto *answer = std::get_if<AnswerCommand>(&command))
        answerCaller(entry, *answer);
    else if (const auto *claim = std::get_if<ClaimCommand>(&command))
        schedule(now_ + claimDelay, [this, entry, request = claim->request, attempt = claim->attempt] {
            entries_[entry]->router->claimAnswered(now_, {request, attempt, ClaimState::Claimed});
            process(entry);
        });
}

void Simulation::sendToMinion(std::size_t entry, const SendCommand &command)
{
    const std::size_t index = minionByAddress_.at(command.address);
    const Call &call = calls_.at(command.request.value());
    if (call.counted)
        ++measurement_.attempts;
    minions_[index].attemptOpened(entry);
    openAttempts_[command.attempt.value()] = {index, entry};
    const Work work{command.attempt, entry, call.serviceTime};
    schedule(now_ + delayWithinZone, [this, index, work] {
        bool refused = false;
        const auto started = minions_[index].receive(work, refused);
        if (refused)
            finishAttempt(work.entry, work.attempt, AttemptEnd::RefusedSlots, 503, delayWithinZone);
        else if (started)
            startWork(index, *started);
    });
}

void Simulation::startWork(std::size_t minion, const Work &work)
{
    if (minions_[minion].fault() == Fault::Silent)
        return;
    schedule(now_ + minions_[minion].durationOf(work), [this, minion, work] {
        const std::uint32_t status = minions_[minion].fault() == Fault::Failing ? 500 : 200;
        finishAttempt(work.entry, work.attempt, AttemptEnd::Answered, status, delayWithinZone);
        if (const auto next = minions_[minion].finish())
            startWork(minion, *next);
    });
}

void Simulation::finishAttempt(std::size_t entry, const AttemptId &attempt, AttemptEnd end, std::uint32_t status,
                               Duration delay)
{
    schedule(now_ + delay, [this, entry, attempt, end, status] {
        closeAttempt(attempt);
        statusByAttempt_[attempt.value()] = status;
        entries_[entry]->router->attemptFinished(now_, {attempt, end, status});
        process(entry);
        statusByAttempt_.erase(attempt.value());
    });
}

void Simulation::closeAttempt(const AttemptId &attempt)
{
    const auto open = openAttempts_.find(attempt.value());
    if (open == openAttempts_.end())
        return;
    minions_[open->second.first].attemptClosed(open->second.second);
    openAttempts_.erase(open);
}

void Simulation::forward(std::size_t entry, const ForwardCommand &command)
{
    Call &call = calls_.at(command.request.value());
    std::size_t target = 0;
    while (entryInfo(target).id != command.entry)
        ++target;
    if (call.counted) {
        if (regionOf(zoneOf(entry)) != regionOf(zoneOf(target)))
            ++measurement_.forwardedToOtherRegion;
        else if (zoneOf(entry) != zoneOf(target))
            ++measurement_.forwardedToOtherZone;
    }
    call.forwardedBy = entry;
    call.forwardedTo = target;
    call.forwardAttempt = command.attempt;
    const Request request{command.request, call.caller, service, call.deadline, call.idempotent, {}, {}, true,
                          !call.idempotent};
    schedule(now_ + networkDelay(entry, target), [this, target, request] {
        entries_[target]->router->requestArrived(now_, request);
        process(target);
    });
}

void Simulation::answerCaller(std::size_t entry, const AnswerCommand &command)
{
    const auto position = calls_.find(command.request.value());
    Call &call = position->second;
    if (call.forwardAttempt.isEmpty() || entry != call.forwardedTo) {
        // The entry that it was forwarded to may still answer after the first entry gave up.
        if (call.answered && entry != call.forwardedTo)
            ++measurement_.answeredTwice;
        if (call.answered)
            return;
        call.answered = true;
        countAnswer(call, command);
        return;
    }
    AttemptEnd end = AttemptEnd::Answered;
    if (command.outcome != Outcome::Run)
        end = command.outcome == Outcome::NotRun ? AttemptEnd::PeerNotRun : AttemptEnd::PeerUnknown;
    const auto status = statusByAttempt_.find(command.answeredBy.value());
    finishAttempt(call.forwardedBy, call.forwardAttempt, end, status == statusByAttempt_.end() ? 200 : status->second,
                  networkDelay(entry, call.forwardedBy));
    call.forwardAttempt = AttemptId();
}

void Simulation::countAnswer(Call &call, const AnswerCommand &command)
{
    if (!call.counted)
        return;
    const auto status = statusByAttempt_.find(command.answeredBy.value());
    if (command.outcome == Outcome::NotRun) {
        ++measurement_.refused;
    } else if (command.outcome == Outcome::Unknown || status == statusByAttempt_.end() || status->second >= 500) {
        ++measurement_.failed;
    } else if (now_ <= call.deadline) {
        ++measurement_.answeredInTime;
        waits_.push_back(now_ - call.arrived - call.serviceTime);
    }
}

} // namespace Pistachio::Benchmark
