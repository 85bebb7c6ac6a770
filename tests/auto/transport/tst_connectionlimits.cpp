#include "loopfixture.h"

#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>

#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Transport;

namespace
{

/// Servers at several endpoints that answer at once, or hold their requests.
class ServerGroup
{
public:
    ServerGroup(EventLoop &loop, int count)
    {
        for (int i = 0; i < count; ++i) {
            servers_.push_back(std::make_unique<HttpServer>(loop, HttpServerLimits(),
                                                            [this](const Request &, const Responder &responder) {
                                                                if (holds)
                                                                    held.push_back(responder);
                                                                else
                                                                    responder.respond({200, {}, "done"});
                                                            }));
            endpoints.push_back({"127.0.0.1", servers_.back()->listen({"127.0.0.1", 0}).value()});
        }
    }

    [[nodiscard]] std::size_t connections() const
    {
        std::size_t sum = 0;
        for (const auto &server : servers_)
            sum += server->connections();
        return sum;
    }

    std::vector<Endpoint> endpoints;
    bool holds = false;
    std::vector<Responder> held;

private:
    std::vector<std::unique_ptr<HttpServer>> servers_;
};

/// Takes nearly all descriptors of the process away for as long as it exists.
class DescriptorShortage
{
public:
    DescriptorShortage()
    {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        auto limit = before_;
        limit.rlim_cur = 0;
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~DescriptorShortage() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    DescriptorShortage(const DescriptorShortage &) = delete;
    DescriptorShortage &operator=(const DescriptorShortage &) = delete;

private:
    rlimit before_{};
};

} // namespace

class ConnectionLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionLimitsTest);
    CPPUNIT_TEST(endpointsShareABoundedNumberOfConnections);
    CPPUNIT_TEST(idleLongestIsClosedFirst);
    CPPUNIT_TEST(idleConnectionsEndWithoutAnotherCall);
    CPPUNIT_TEST(callWithoutAConnectionFailsUnsent);
    CPPUNIT_TEST(callBehindAnotherToItsEndpointFailsUnsent);
    CPPUNIT_TEST(overdueCallIsNotSentAfterAPause);
    CPPUNIT_TEST(waitingCallsGetConnectionsInOrder);
    CPPUNIT_TEST(shortageOfDescriptorsIsALocalFailure);
    CPPUNIT_TEST(serverBoundsConnectionsThatItRefuses);
    CPPUNIT_TEST(idleConnectionsMakeRoomForNewOnes);
    CPPUNIT_TEST_SUITE_END();

    EventLoop loop_;
    std::size_t answers_ = 0;

    void call(HttpClient &client, const Endpoint &endpoint)
    {
        client.call(endpoint, {}, 10s, [this](const CallResult &result) { answers_ += result ? 1 : 0; });
    }

    void callInTurn(HttpClient &client, const ServerGroup &servers)
    {
        for (const auto &endpoint : servers.endpoints) {
            const auto expected = answers_ + 1;
            call(client, endpoint);
            CPPUNIT_ASSERT(runUntil(loop_, [&] { return answers_ == expected; }));
        }
    }

public:
    // Guards against a process that uses up its descriptors on connections to many peers.
    void endpointsShareABoundedNumberOfConnections()
    {
        ServerGroup servers(loop_, 12);
        HttpClientLimits limits;
        limits.connections = 4;
        HttpClient client(loop_, limits);
        callInTurn(client, servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, client.connections());
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return servers.connections() == 4; }));
    }

    void idleLongestIsClosedFirst()
    {
        ServerGroup servers(loop_, 3);
        HttpClientLimits limits;
        limits.connections = 2;
        HttpClient client(loop_, limits);
        const auto callFirst = [&] {
            const auto expected = answers_ + 1;
            call(client, servers.endpoints[0]);
            CPPUNIT_ASSERT(runUntil(loop_, [&] { return answers_ == expected; }));
        };
        callInTurn(client, servers); // leaves connections to the second and the third
        callFirst(); // closes the one to the second
        std::size_t accepted = servers.connections();
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return servers.connections() == 2; }));
        const auto expected = answers_ + 1;
        call(client, servers.endpoints[2]);
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return answers_ == expected; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, client.connections());
        CPPUNIT_ASSERT(servers.connections() <= accepted);
    }

    // Idle connections were closed by the next call to their endpoint only, which may never come.
    void idleConnectionsEndWithoutAnotherCall()
    {
        ServerGroup servers(loop_, 3);
        HttpClientLimits limits;
        limits.idleTimeout = 40ms;
        HttpClient client(loop_, limits);
        callInTurn(client, servers);
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return servers.connections() == 0; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client.connections());
    }

    // Guards against taking a lack of connections for a peer that doesn't answer.
    void callWithoutAConnectionFailsUnsent()
    {
        ServerGroup servers(loop_, 2);
        servers.holds = true;
        HttpClientLimits limits;
        limits.connections = 1;
        limits.queued = 1;
        HttpClient client(loop_, limits);
        call(client, servers.endpoints[0]);
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return servers.held.size() == 1; }));
        std::vector<CallError> errors;
        for (int i = 0; i < 2; ++i) {
            client.call(servers.endpoints[1], {}, 40ms, [&](const CallResult &result) {
                if (!result)
                    errors.push_back(result.error());
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client.waitingCalls());
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return errors.size() == 2; }));
        for (const auto &error : errors)
            CPPUNIT_ASSERT(error.error.code == ErrorCode::Capacity && !error.written);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client.waitingCalls());
        servers.held.front().respond({200, {}, {}});
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return answers_ == 1; }));
    }

    // Guards against a call that was never written being taken for one that the server did not answer.
    void callBehindAnotherToItsEndpointFailsUnsent()
    {
        ServerGroup servers(loop_, 1);
        servers.holds = true;
        HttpClientLimits limits;
        limits.connectionsPerEndpoint = 1;
        HttpClient client(loop_, limits);
        call(client, servers.endpoints.front());
        std::optional<CallResult> result;
        client.call(servers.endpoints.front(), {}, 50ms, [&](CallResult answer) { result = std::move(answer); });
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return result.has_value(); }));
        CPPUNIT_ASSERT(result->has_error() && !result->error().written);
        CPPUNIT_ASSERT(result->error().error.code == ErrorCode::Capacity);
    }

    // A process that had been paused sent an order that had waited for a connection, although its time was over.
    void overdueCallIsNotSentAfterAPause()
    {
        for (const bool isSameEndpoint : {true, false}) {
            RawSocket first;
            RawSocket second;
            const Endpoint firstEndpoint{"127.0.0.1", first.listen()};
            const Endpoint secondEndpoint{"127.0.0.1", second.listen()};
            HttpClientLimits limits;
            limits.connections = 1;
            limits.connectionsPerEndpoint = 1;
            HttpClient client(loop_, limits);
            answers_ = 0;
            call(client, firstEndpoint);
            int descriptor = -1;
            CPPUNIT_ASSERT(runUntil(loop_, [&] { return (descriptor = first.accept()) >= 0; }));
            RawSocket peer(descriptor);
            std::string received;
            CPPUNIT_ASSERT(runUntil(loop_, [&] { return peer.receive(received) || !received.empty(); }));
            std::optional<CallResult> late;
            client.call(isSameEndpoint ? firstEndpoint : secondEndpoint, {}, 30ms,
                        [&](CallResult answer) { late = std::move(answer); });
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            std::this_thread::sleep_for(60ms);
            CPPUNIT_ASSERT(runUntil(loop_, [&] { return late.has_value() && answers_ == 1; }));
            loop_.runFor(20ms);
            received.clear();
            (void)peer.receive(received);
            CPPUNIT_ASSERT(late->has_error() && !late->error().written);
            CPPUNIT_ASSERT(received.empty() && first.accept() < 0 && second.accept() < 0);
        }
    }

    void waitingCallsGetConnectionsInOrder()
    {
        ServerGroup servers(loop_, 6);
        HttpClientLimits limits;
        limits.connections = 2;
        HttpClient client(loop_, limits);
        std::vector<std::size_t> order;
        for (std::size_t i = 0; i < servers.endpoints.size(); ++i)
            client.call(servers.endpoints[i], {}, 10s, [&order, i](const CallResult &result) {
                if (result)
                    order.push_back(i);
            });
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, client.waitingCalls());
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return order.size() == servers.endpoints.size(); }));
        CPPUNIT_ASSERT(client.connections() <= 2);
        // Two run side by side, so neighbours may swap.
        for (std::size_t i = 0; i < order.size(); ++i)
            CPPUNIT_ASSERT(order[i] + 2 >= i && order[i] <= i + 2);
    }

    void shortageOfDescriptorsIsALocalFailure()
    {
        ServerGroup servers(loop_, 1);
        HttpClient client(loop_, {});
        std::optional<CallResult> result;
        {
            const DescriptorShortage shortage;
            client.call(servers.endpoints[0], {}, 10s, [&](CallResult answer) { result = std::move(answer); });
            CPPUNIT_ASSERT(runUntil(loop_, [&] { return result.has_value(); }));
        }
        CPPUNIT_ASSERT(result->has_error());
        CPPUNIT_ASSERT(result->error().error.code == ErrorCode::Capacity && !result->error().written);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client.connections());
        call(client, servers.endpoints[0]);
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return answers_ == 1; }));
    }

    // Each refused connection was kept until its answer was sent, however many there were.
    void serverBoundsConnectionsThatItRefuses()
    {
        HttpServerLimits limits;
        limits.connections = 2;
        limits.refusals = 3;
        std::vector<Responder> held;
        HttpServer server(loop_, limits,
                          [&held](const Request &, const Responder &responder) { held.push_back(responder); });
        const auto port = server.listen({"127.0.0.1", 0}).value();
        std::vector<std::unique_ptr<RawSocket>> sockets;
        const auto connect = [&] {
            sockets.push_back(std::make_unique<RawSocket>());
            sockets.back()->connect(port);
        };
        for (std::size_t i = 0; i < limits.connections; ++i) {
            connect();
            sockets.back()->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return held.size() == limits.connections; }));
        for (int i = 0; i < 10; ++i)
            connect();
        std::size_t most = 0;
        for (int i = 0; i < 20; ++i) {
            loop_.runFor(2ms);
            most = std::max(most, server.connections());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, most);
        held.clear();
        sockets.clear();
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return server.connections() == 0; }));
    }

    // Minions that report every second and a half kept an operator out of an instance that all of them had turned to.
    void idleConnectionsMakeRoomForNewOnes()
    {
        HttpServerLimits limits;
        limits.connections = 3;
        HttpServer server(loop_, limits, [](const Request &, const Responder &responder) {
            responder.respond({200, {}, "done"});
        });
        const auto port = server.listen({"127.0.0.1", 0}).value();
        std::vector<std::unique_ptr<RawSocket>> idle;
        for (std::size_t i = 0; i < limits.connections; ++i) {
            idle.push_back(std::make_unique<RawSocket>());
            idle.back()->connect(port);
            CPPUNIT_ASSERT(runUntil(loop_, [&] { return server.connections() == i + 1; }));
        }
        HttpClient client(loop_, {});
        call(client, {"127.0.0.1", port});
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return answers_ == 1; }));
        CPPUNIT_ASSERT_EQUAL(limits.connections, server.connections());
        std::string text;
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return idle.front()->receive(text); }));
        CPPUNIT_ASSERT(text.empty());
        CPPUNIT_ASSERT(!idle.back()->receive(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionLimitsTest);
