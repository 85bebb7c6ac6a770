#include "carriedcell.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

using namespace Pistachio;
using namespace Pistachio::Jobs;
using namespace Pistachio::Jobnode;

namespace
{

constexpr Duration stepTime = 1ms;
constexpr Duration tickInterval = 20ms;
constexpr Duration reportInterval = 400ms;
constexpr Duration commitDelay = 20ms;
constexpr Duration orderLimit = 150ms; ///< a client gives an order up after it
constexpr Duration oldestOrder = 200ms; ///< from the leader's decision to the sending: the rounds, and the limit
constexpr std::int64_t startUnixMs = 1'000'000;
constexpr std::int64_t milliCores = 4000;
constexpr int jobsInRunTime = 10;

std::string carrierName(std::size_t number)
{
    return "carrier-" + std::to_string(number);
}

} // namespace

/// Calls minions over the simulated network.
class CarriedCell::Process : public MinionClient
{
public:
    explicit Process(CarriedCell &cell, std::size_t &starts)
        : cell_(cell)
        , starts_(starts)
    {
    }

    void start(const StartOrder &order, Answered answered) override
    {
        ++starts_;
        const Duration decided(std::stoll(order.payload));
        if (cell_.now_.time_since_epoch() - decided > oldestOrder)
            cell_.violations.push_back("an order was sent late: " + order.task.toString());
        call(Duration::zero(), std::move(answered),
             [this, order](const auto &answer) { answer(cell_.minionAt(order.address).start(cell_.now_, order)); });
    }
    void stop(const StopOrder &order, Answered answered) override
    {
        call(Duration::zero(), std::move(answered),
             [this, order](const auto &answer) { answer(cell_.minionAt(order.address).stop(cell_.now_, order)); });
    }
    void throttle(const ThrottleOrder & /*order*/, Answered answered) override { answered({}); }
    void renewLease(const LeaseOrder &order, std::function<void(const LeaseAnswer &)> answered) override
    {
        call(order.wait, std::move(answered), [this, order](const auto &answer) {
            cell_.minionAt(order.address).renewLease(cell_.now_, order, answer);
        });
    }
    void close() override { ++epoch_; }

    bool isDown = false;
    TimePoint pausedUntil{};

protected:
    /// Calls \p function in this process, later if it is paused, and never once it is gone.
    void inProcess(Duration delay, std::function<void()> function)
    {
        cell_.schedule(delay, [this, function = std::move(function), epoch = epoch_] {
            if (isDown || epoch != epoch_)
                return;
            if (cell_.now_ < pausedUntil)
                inProcess(pausedUntil - cell_.now_, function);
            else
                function();
        });
    }

    CarriedCell &cell_;
    std::uint64_t epoch_ = 0; ///< what an earlier process began doesn't end in this one

private:
    template<class Answer, class Carry>
    void call(Duration wait, std::function<void(const Answer &)> answered, const Carry &carry)
    {
        const auto isAnswered = std::make_shared<bool>(false);
        const auto answer = [answered, isAnswered](const Answer &value) {
            if (!std::exchange(*isAnswered, true))
                answered(value);
        };
        inProcess(wait + orderLimit, [answer] { answer(Answer()); });
        cell_.schedule(cell_.delay(), [this, answer, carry] {
            carry(
                [this, answer](const Answer &value) { inProcess(cell_.delay(), [answer, value] { answer(value); }); });
        });
    }

    std::size_t &starts_;
};

class CarriedCell::Carrier : public Process, public OrderCarrierPorts
{
public:
    Carrier(CarriedCell &cell, std::string zone)
        : Process(cell, cell.carriedStarts)
        , zone_(std::move(zone))
    {
        begin();
    }

    void begin()
    {
        ++epoch_;
        isDown = false;
        carrier_ = std::make_unique<OrderCarrier>(*this, *this, zone_);
    }

    void take(const std::string &body, const std::function<void(Transport::Response)> &answered)
    {
        inProcess(Duration::zero(), [this, body, answered] { answered(carrier_->take(body, term)); });
    }

    bool hearsLeader = true;
    bool reachesLeader = true;
    Duration slowness{}; ///< of its link with the leader
    std::uint64_t term = 0;

private:
    [[nodiscard]] Duration suspensionClock() const override { return cell_.now_.time_since_epoch() + 77s; }
    void callLater(Duration delay, std::function<void()> function) override { inProcess(delay, std::move(function)); }
    void answerLeader(const std::string & /*leader*/, std::string answers) override
    {
        if (!reachesLeader || cell_.isLost())
            return;
        cell_.schedule(slowness + cell_.delay(), [this, answers] { cell_.takeAnswers(answers); });
    }

    const std::string zone_;
    std::unique_ptr<OrderCarrier> carrier_;
};

struct CarriedCell::Leader {
    Leader(CarriedCell &cell, JobStore &store, MinionClient &client)
        : relay(cell, client, "leader", "zone-leader")
        , scheduler(store, cell, SchedulerSettings())
    {
    }

    OrderRelay relay;
    JobScheduler scheduler;
};

CarriedCell::CarriedCell(std::uint64_t seed, std::size_t carriers, std::size_t minions, Duration runTime)
    : runTime_(runTime)
    , random_(seed)
    , store_(std::make_unique<JobStore>())
{
    Wire::JobCommand command;
    auto &configuration = *command.mutable_configuration();
    configuration.set_version(1);
    configuration.add_services()->set_name("service");
    auto &queue = *configuration.add_queues();
    queue.set_host("host");
    queue.set_path_prefix("/queue/");
    queue.set_service("service");
    queue.set_max_attempts(3);
    store_->apply(0, command.SerializeAsString());
    for (std::size_t number = 0; number < carriers; ++number) {
        carriers_.push_back(std::make_unique<Carrier>(*this, "zone-" + std::to_string(number)));
        instances_.push_back(carrierName(number));
    }
    leaderClient_ = std::make_unique<Process>(*this, directStarts);
    for (std::size_t number = 0; number < minions; ++number) {
        MinionReport report;
        report.incarnation = {"minion-" + std::to_string(number), 1};
        report.address = report.incarnation.id + ":1";
        report.service = "service";
        report.zone = "zone-" + std::to_string(number % (carriers + 1));
        report.milliCores = milliCores;
        report.memoryMb = 1000;
        report.sequence = 1;
        auto minion = std::make_unique<SimulatedMinion>(report, runTime, 1);
        minion->observer = this;
        minions_[report.address] = std::move(minion);
    }
    lead();
}

CarriedCell::~CarriedCell() = default;

void CarriedCell::lead()
{
    ++leadership_;
    ++term_;
    leader_.reset();
    leader_ = std::make_unique<Leader>(*this, *store_, *leaderClient_);
    leader_->relay.lead(term_);
    leader_->scheduler.becomeLeader(moment(), term_);
    for (const auto &carrier : carriers_)
        schedule(delay(), [&carrier, term = term_] { carrier->term = std::max(carrier->term, term); });
}

void CarriedCell::changeLeader()
{
    leaderClient_->close();
    lead();
}

EventTime CarriedCell::moment() const
{
    return {now_, startUnixMs + now_.time_since_epoch() / 1ms};
}

void CarriedCell::schedule(Duration after, std::function<void()> function)
{
    events_.emplace(now_ + after, std::move(function));
}

Duration CarriedCell::delay()
{
    return 1ms + Duration(random_.below(9000));
}

bool CarriedCell::isLost()
{
    return random_.below(100) < lostPercent;
}

SimulatedMinion &CarriedCell::minionAt(const std::string &address)
{
    return *minions_.at(address);
}

CarriedCell::Carrier &CarriedCell::carrierAt(const std::string &instance)
{
    return *carriers_.at(std::stoul(instance.substr(instance.find('-') + 1)));
}

std::string_view CarriedCell::zoneOf(const std::string &minion) const
{
    return minions_.at(minion + ":1")->report.zone;
}

void CarriedCell::kill(std::size_t carrier)
{
    carriers_[carrier]->close();
    carriers_[carrier]->isDown = true;
}

void CarriedCell::revive(std::size_t carrier)
{
    carriers_[carrier]->begin();
}

void CarriedCell::pause(std::size_t carrier, Duration span)
{
    carriers_[carrier]->pausedUntil = now_ + span;
}

void CarriedCell::cut(std::size_t carrier, Direction direction)
{
    (direction == Direction::FromLeader ? carriers_[carrier]->hearsLeader : carriers_[carrier]->reachesLeader) = false;
}

void CarriedCell::join(std::size_t carrier)
{
    carriers_[carrier]->hearsLeader = true;
    carriers_[carrier]->reachesLeader = true;
}

void CarriedCell::slow(std::size_t carrier, Duration more)
{
    carriers_[carrier]->slowness = more;
}

void CarriedCell::run(Duration span)
{
    for (const auto end = now_ + span; now_ < end;)
        step(true);
}

void CarriedCell::finish(Duration limit)
{
    for (const auto end = now_ + limit; now_ < end && completed < submitted;)
        step(false);
}

void CarriedCell::step(bool submits)
{
    now_ += stepTime;
    while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
    }
    for (const auto &[address, minion] : minions_)
        minion->tick(now_);
    if (now_ >= nextReport_) {
        nextReport_ = now_ + reportInterval;
        for (const auto &[address, minion] : minions_) {
            ++minion->report.sequence;
            leader_->scheduler.minionReported(moment(), minion->report, [](bool) {});
        }
    }
    if (submits && now_ >= nextJob_) {
        nextJob_ = now_ + runTime_ / jobsInRunTime;
        submit();
    }
    if (now_ >= nextTick_) {
        nextTick_ = now_ + tickInterval;
        leader_->relay.tick(instances_);
        leader_->scheduler.tick(moment());
    }
    leader_->relay.flush();
    completed = static_cast<std::size_t>(std::ranges::count_if(
        store_->jobs(), [](const auto &entry) { return entry.second.phase() == JobPhase::Completed; }));
}

void CarriedCell::submit()
{
    Wire::JobCommand command;
    auto &submission = *command.mutable_submission();
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016zx", ++submitted);
    submission.set_id(id.data());
    submission.set_queue("host/queue/");
    submission.set_accepted_unix_ms(moment().unixMs);
    auto &item = *submission.mutable_spec()->add_steps();
    item.set_tasks(1);
    item.set_milli_cores(1000);
    item.set_estimate_ms(runTime_ / 1ms);
    store_->apply(0, command.SerializeAsString());
}

void CarriedCell::propose(Wire::JobCommand command, std::function<void(bool applied)> ended)
{
    schedule(commitDelay, [this, command = std::move(command), ended = std::move(ended), leadership = leadership_] {
        // Uncommitted entries of an earlier leader are lost.
        if (leadership != leadership_)
            return;
        store_->apply(0, command.SerializeAsString());
        if (ended)
            ended(true);
    });
}

void CarriedCell::start(const StartOrder &order)
{
    auto dated = order;
    dated.payload = std::to_string(now_.time_since_epoch().count());
    leader_->relay.start(dated, [this, order, leadership = leadership_](const OrderAnswer &answer) {
        if (leadership == leadership_)
            leader_->scheduler.startAnswered(moment(), order, answer);
    });
}

void CarriedCell::stop(const StopOrder &order)
{
    leader_->relay.stop(order, [this, order, leadership = leadership_](const OrderAnswer &answer) {
        if (leadership == leadership_)
            leader_->scheduler.stopAnswered(moment(), order, answer);
    });
}

void CarriedCell::renewLease(const LeaseOrder &order)
{
    leader_->relay.renewLease(order, [this, order, leadership = leadership_](const LeaseAnswer &answer) {
        if (leadership == leadership_)
            leader_->scheduler.leaseAnswered(moment(), order, answer);
    });
}

void CarriedCell::throttle(const ThrottleOrder & /*order*/) { }

void CarriedCell::askAdvice(const AdviceRequest & /*request*/) { }

void CarriedCell::logDecision(Logging::LogLevel /*level*/, std::string_view /*event*/,
                              std::initializer_list<Logging::LogField> /*fields*/)
{
}

void CarriedCell::log(std::string_view /*event*/, std::initializer_list<Logging::LogField> /*fields*/) { }

void CarriedCell::takeAnswers(const std::string &answers)
{
    leader_->relay.takeAnswers(answers);
}

void CarriedCell::handOver(const std::string &instance, std::string orders, Duration limit,
                           Transport::CallCompletion completion)
{
    auto &carrier = carrierAt(instance);
    const auto isOver = std::make_shared<bool>(false);
    const auto end = [this, isOver, completion = std::move(completion),
                      leadership = leadership_](const Transport::CallResult &result) {
        // The calls of an earlier leader ended with its process.
        if (!std::exchange(*isOver, true) && leadership == leadership_)
            completion(result);
    };
    schedule(limit, [end] { end(Transport::CallError{failure(ErrorCode::Timeout, "no answer"), true}); });
    if (!carrier.hearsLeader || isLost())
        return;
    const auto deliver = [this, &carrier, orders = std::move(orders), end] {
        if (carrier.isDown) {
            end(Transport::CallError{failure(ErrorCode::Unavailable, "refused"), false});
            return;
        }
        carrier.take(orders, [this, &carrier, end](const Transport::Response &response) {
            refusedBatches += response.status == 409 ? 1 : 0;
            if (carrier.reachesLeader && !isLost())
                schedule(carrier.slowness + delay(), [end, response] { end(response); });
        });
    };
    schedule(carrier.slowness + delay(), deliver);
    if (repeatsBatches)
        schedule(carrier.slowness + delay(), deliver);
}

void CarriedCell::runBegan(const std::string &minion, const StartOrder &order)
{
    if (!running_.emplace(order.task, minion).second)
        violations.push_back(order.task.toString() + " runs twice at the same time");
    if (finished_.contains(order.task))
        violations.push_back(order.task.toString() + " runs again after its end");
    longestStart = std::max(longestStart, now_.time_since_epoch() - Duration(std::stoll(order.payload)));
}

void CarriedCell::runEnded(const std::string & /*minion*/, const EndedRun &end)
{
    running_.erase(end.task);
    if (end.end == RunEnd::Done)
        finished_.insert(end.task);
    lapsedRuns += end.end == RunEnd::LeaseExpired ? 1 : 0;
}

void CarriedCell::endsAcknowledged(const std::string & /*minion*/, std::uint64_t /*number*/) { }

void CarriedCell::minionCrashed(const std::string & /*minion*/) { }
