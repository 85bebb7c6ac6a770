#include "standincarriers.h"

#include "jobnode/ordercarrier.h"
#include "jobnode/ordercarrierports.h"
#include "jobnode/peers.h"
#include "transport/http2server.h"

#include <utility>

namespace Pistachio::Benchmark
{

using namespace Jobs;
using Transport::EventLoop;

namespace
{

constexpr std::size_t zones = 6; ///< the leader's and those of the carriers
constexpr std::int64_t clockMs = 482'113;

std::string zoneName(std::size_t number)
{
    return "zone-" + std::to_string(number);
}

OrderAnswer confirmation()
{
    return {OrderOutcome::Done, clockMs};
}

/// What a minion of the load usually runs, and one end.
LeaseAnswer lists()
{
    LeaseAnswer answer;
    answer.outcome = OrderOutcome::Done;
    answer.clockMs = clockMs;
    answer.bornUnixMs = 1;
    const StepName step{"5c0e7a21d94b36f8", 0, 1};
    answer.active = {{{step, 17}, 1, "", 41, 4200}, {{step, 18}, 1, "", 43, 4200}};
    answer.ended = {{58, {step, 9}, 1, RunEnd::Done, ""}};
    return answer;
}

} // namespace

class StandinCarriers::Instance : public Jobnode::OrderCarrierPorts
{
public:
    Instance(EventLoop &loop, MinionClient &minions, std::string ip, std::string zone)
        : loop_(loop)
        , ip_(std::move(ip))
        , carrier_(*this, minions, std::move(zone))
        , server_(loop, {}, [this](const Transport::Request &request, const Transport::Responder &responder) {
            responder.respond(carrier_.take(request.body, 0));
        })
    {
    }

    Result<std::uint16_t> listen(std::uint16_t port)
    {
        BOOST_OUTCOME_TRY(const auto used, server_.listen({ip_, port}));
        peers_ = std::make_unique<Jobnode::Peers>(loop_, used, ip_);
        return used;
    }

private:
    [[nodiscard]] Duration suspensionClock() const override { return EventLoop::now().time_since_epoch(); }
    void callLater(Duration delay, std::function<void()> function) override
    {
        timer_ = loop_.callAfter(delay, std::move(function));
    }
    void answerLeader(const std::string &leader, std::string answers) override
    {
        peers_->call(leader, "/jobs/order-answers", std::move(answers), 1s, [](const auto & /*result*/) {});
    }

    EventLoop &loop_;
    const std::string ip_;
    Jobnode::OrderCarrier carrier_;
    Transport::Http2Server server_;
    std::unique_ptr<Jobnode::Peers> peers_;
    Transport::Timer timer_;
};

StandinCarriers::StandinCarriers(EventLoop &loop)
    : loop_(loop)
{
    const auto ips = instances();
    for (std::size_t number = 0; number < ips.size(); ++number)
        instances_.push_back(std::make_unique<Instance>(loop, *this, ips[number], zoneName(number + 1)));
}

StandinCarriers::~StandinCarriers() = default;

std::vector<std::string> StandinCarriers::instances()
{
    std::vector<std::string> ips;
    for (std::size_t number = 1; number < zones; ++number)
        ips.push_back("127.8.0." + std::to_string(number + 1));
    return ips;
}

std::string StandinCarriers::zoneOf(std::size_t minion)
{
    return zoneName(minion % zones);
}

Result<std::uint16_t> StandinCarriers::listen()
{
    std::uint16_t port = 0;
    for (const auto &instance : instances_) {
        BOOST_OUTCOME_TRY(port, instance->listen(port));
    }
    return port;
}

void StandinCarriers::start(const StartOrder & /*order*/, Answered answered)
{
    loop_.post([answered = std::move(answered)] { answered(confirmation()); });
}

void StandinCarriers::stop(const StopOrder & /*order*/, Answered answered)
{
    loop_.post([answered = std::move(answered)] { answered(confirmation()); });
}

void StandinCarriers::throttle(const ThrottleOrder & /*order*/, Answered answered)
{
    loop_.post([answered = std::move(answered)] { answered(confirmation()); });
}

void StandinCarriers::renewLease(const LeaseOrder & /*order*/, std::function<void(const LeaseAnswer &)> answered)
{
    loop_.post([answered = std::move(answered)] { answered(lists()); });
}

} // namespace Pistachio::Benchmark
