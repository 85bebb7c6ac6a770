// Counts the instructions that a leader spends on a run, with 1,100 minions that a program of its own stands in for:
// planning, the job store, and the calls over HTTP. Usage:
//   leader-cost serve         answers orders as a minion; prints its port
//   leader-cost count <port>  plays the load and sends each order to that port, over a connection for each minion
// "count" prints the number of runs; callgrind counts the instructions.

#include "jobs/leaderload.h"
#include "logging/logger.h"
#include "platform/platformclient.h"
#include "transport/eventloop.h"
#include "transport/httpserver.h"

#include <valgrind/callgrind.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace Pistachio;

namespace
{

constexpr Duration settlingTime = 10s;
constexpr Duration countedTime = 1s;
constexpr Duration exchange = 5ms; ///< orders of this time are sent together
constexpr std::size_t ordersAtOnce = 4; ///< few enough that callgrind answers them within their time limits
constexpr std::size_t connections = 4096;
constexpr std::size_t addressesPerGroup = 250;

/// An answer that lists what a minion of the load usually runs, and one end.
const std::string lists
    = R"({"clockMs":482113,"born":1700000000000,"active":[["5c0e7a21d94b36f8.0.1.17",1,"",41,4200],)"
      R"(["5c0e7a21d94b36f8.0.1.18",1,"",43,4200]],"endedRuns":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
const std::string confirmation = R"({"clockMs":482113})";

int serve()
{
    Transport::EventLoop loop;
    Transport::HttpServerLimits limits;
    limits.connections = connections;
    Transport::HttpServer server(loop, limits, [](const Transport::Request &request, const auto &responder) {
        const bool isRenewal = request.target.ends_with("hold");
        responder.respond({200, {{"Content-Type", "application/json"}}, isRenewal ? lists : confirmation});
    });
    const auto port = server.listen({"0.0.0.0", 0});
    if (!port) {
        std::fprintf(stderr, "%s\n", port.error().message.c_str());
        return 1;
    }
    std::printf("%d\n", port.value());
    std::fflush(stdout);
    loop.run();
    return 0;
}

/// Sends the orders of the load over HTTP. The minions of the load decide what becomes of them.
class OrderSender
{
public:
    explicit OrderSender(std::string port)
        : port_(std::move(port))
        , logger_("leader-cost", "leader", "error", "", 1, 1)
        , client_(loop_, logger_, {"127.0.0.1", 1}, connections)
    {
    }

    /// Remembers an order until sendAll().
    void add(Jobs::StartOrder order)
    {
        order.address = addressOf(order.address);
        starts_.push_back(std::move(order));
    }
    void add(Jobs::StopOrder order)
    {
        order.address = addressOf(order.address);
        stops_.push_back(std::move(order));
    }
    void add(Jobs::LeaseOrder order)
    {
        order.address = addressOf(order.address);
        renewals_.push_back(std::move(order));
    }

    /// Sends the orders, a few at a time, and waits for all answers.
    void sendAll()
    {
        for (const auto &order : std::exchange(starts_, {}))
            send([&] { client_.start(order, [this](const auto &answer) { answered(answer.outcome); }); });
        for (const auto &order : std::exchange(stops_, {}))
            send([&] { client_.stop(order, [this](const auto &answer) { answered(answer.outcome); }); });
        for (const auto &order : std::exchange(renewals_, {}))
            send([&] { client_.renewLease(order, [this](const auto &answer) { answered(answer.outcome); }); });
        awaitAnswers();
    }

    [[nodiscard]] bool hasFailed() const { return failed_ || waiting_ > 0; }

private:
    /// \return an address of the loopback network for each minion.
    [[nodiscard]] std::string addressOf(std::string_view address) const
    {
        const auto number = std::strtoul(std::string(address.substr(address.find(':') + 1)).c_str(), nullptr, 10);
        return "127.9." + std::to_string(number / addressesPerGroup) + '.'
            + std::to_string(1 + number % addressesPerGroup) + ':' + port_;
    }

    template<class Send> void send(const Send &function)
    {
        ++waiting_;
        function();
        if (waiting_ == ordersAtOnce)
            awaitAnswers();
    }

    void awaitAnswers()
    {
        if (waiting_ > 0)
            loop_.runFor(1min);
    }

    void answered(Jobs::OrderOutcome outcome)
    {
        failed_ = failed_ || outcome != Jobs::OrderOutcome::Done;
        if (--waiting_ == 0)
            loop_.stop();
    }

    const std::string port_;
    Transport::EventLoop loop_;
    Logging::Logger logger_;
    Platform::PlatformClient client_;
    std::vector<Jobs::StartOrder> starts_;
    std::vector<Jobs::StopOrder> stops_;
    std::vector<Jobs::LeaseOrder> renewals_;
    std::size_t waiting_ = 0;
    bool failed_ = false;
};

int count(const std::string &port)
{
    OrderSender sender(port);
    bool isCounting = false;
    LeaderLoad::Observer observer;
    observer.start = [&sender](const auto &order) { sender.add(order); };
    observer.stop = [&sender](const auto &order) { sender.add(order); };
    observer.renewal = [&sender](const auto &order) { sender.add(order); };
    observer.work = [&isCounting](bool /*begins*/) {
        if (isCounting)
            CALLGRIND_TOGGLE_COLLECT;
    };
    LeaderLoad load({}, observer);
    const auto play = [&](Duration span) {
        for (Duration played{}; played < span; played += exchange) {
            load.run(exchange);
            if (isCounting)
                CALLGRIND_TOGGLE_COLLECT;
            sender.sendAll();
            if (isCounting)
                CALLGRIND_TOGGLE_COLLECT;
        }
    };
    play(settlingTime);
    load.takeCounts();
    CALLGRIND_START_INSTRUMENTATION;
    isCounting = true;
    play(countedTime);
    const auto counts = load.takeCounts();
    std::printf("runs %llu\ncalls %llu\n", static_cast<unsigned long long>(counts.done),
                static_cast<unsigned long long>(counts.calls()));
    return sender.hasFailed() ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string_view> arguments(argv, argv + argc);
    if (argc == 2 && arguments[1] == "serve")
        return serve();
    if (argc == 3 && arguments[1] == "count")
        return count(std::string(arguments[2]));
    std::fprintf(stderr, "usage: leader-cost serve | count <port>\n");
    return 2;
}
