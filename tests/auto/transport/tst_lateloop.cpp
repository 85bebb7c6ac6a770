#include "loopfixture.h"

#include "transport/httpclient.h"
#include "transport/httpserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <thread>

using namespace Pistachio;
using namespace Pistachio::Transport;

namespace
{

/// A server on a thread and loop of its own, which answers after a fixed time.
class SeparateServer
{
public:
    explicit SeparateServer(Duration answerTime)
        : server_(loop_, HttpServerLimits(),
                  [this, answerTime](const Request &, const Responder &responder) {
                      timer_ = loop_.callAfter(answerTime, [responder] { responder.respond({200, {}, "done"}); });
                  })
        , port_(server_.listen({"127.0.0.1", 0}).value())
        , thread_([this] { loop_.run(); })
    {
    }
    ~SeparateServer()
    {
        loop_.stop();
        thread_.join();
    }
    SeparateServer(const SeparateServer &) = delete;
    SeparateServer &operator=(const SeparateServer &) = delete;

    [[nodiscard]] Endpoint endpoint() const { return {"127.0.0.1", port_}; }

private:
    EventLoop loop_;
    Timer timer_;
    HttpServer server_;
    std::uint16_t port_;
    std::thread thread_;
};

} // namespace

/// Calls of a process whose loop is late.
class LateLoopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LateLoopTest);
    CPPUNIT_TEST(lateLoopIsNotTakenForASilentPeer);
    CPPUNIT_TEST(silentPeerIsGivenUpByALateLoop);
    CPPUNIT_TEST_SUITE_END();

    EventLoop loop_;

    /// Delays all that happens in the loop.
    void occupyLoop(Duration span)
    {
        loop_.post([this, span] {
            std::this_thread::sleep_for(span);
            occupyLoop(span);
        });
    }

public:
    // A busy process gave up peers that had answered at once, since it came to send and read too late.
    void lateLoopIsNotTakenForASilentPeer()
    {
        SeparateServer server(5ms);
        HttpClient client(loop_, {});
        std::optional<CallResult> result;
        client.call(server.endpoint(), {}, 30ms, [&](CallResult answer) { result = std::move(answer); });
        occupyLoop(45ms);
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return result.has_value(); }));
        CPPUNIT_ASSERT_MESSAGE(result->has_error() ? result->error().error.message : "", result->has_value());
    }

    // Guards against waiting on and on for a peer that says nothing.
    void silentPeerIsGivenUpByALateLoop()
    {
        SeparateServer server(10s);
        HttpClient client(loop_, {});
        std::optional<CallResult> result;
        client.call(server.endpoint(), {}, 30ms, [&](CallResult answer) { result = std::move(answer); });
        occupyLoop(45ms);
        const auto begin = EventLoop::now();
        CPPUNIT_ASSERT(runUntil(loop_, [&] { return result.has_value(); }));
        CPPUNIT_ASSERT(result->has_error() && result->error().error.code == ErrorCode::Timeout);
        CPPUNIT_ASSERT(EventLoop::now() - begin < 1s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateLoopTest);
