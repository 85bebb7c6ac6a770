#pragma once

#include "controlnode/controlnode.h"
#include "controlnode/events.h"
#include "transport/eventloop.h"
#include "transport/http2client.h"
#include "transport/http2server.h"
#include "transport/httpserver.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace Pistachio::Metrics
{
class Registry;
}

namespace Pistachio::Settings
{
struct ControlSettings;
}

namespace Pistachio::Controlnode
{

/// The sockets of the process. All of it runs on the network thread, but for what says otherwise.
class Network
{
public:
    /// \param settings addresses to listen on
    /// \param operatorToken what operators must present
    /// \param events to the decision thread
    /// \param metrics served to operators
    Network(const Settings::ControlSettings &settings, std::string operatorToken, EventRing &events,
            Metrics::Registry &metrics);
    ~Network();

    Result<void> listen();
    [[nodiscard]] ListenPorts ports() const { return ports_; }

    /// Runs until the servers have stopped after a signal, or until abort().
    void run();

    /// Ends run() at once; from any thread.
    void abort();

    /// Queues a call to another instance; from any thread.
    /// \return whether there was room.
    bool call(PeerCall peerCall);

    /// Tells what /readyz answers; from any thread.
    void setReady(bool ready) { ready_ = ready; }

    /// Tells that the decision thread makes progress; from any thread.
    void decisionRoundDone() { lastRound_ = Transport::EventLoop::now().time_since_epoch().count(); }

private:
    void scheduleTick();
    void handleInternal(Transport::Request request, const Transport::Responder &responder);
    void handleOperator(Transport::Request request, const Transport::Responder &responder, Port port);
    void hand(Port port, Transport::Request request, const Transport::Responder &responder);
    void makeCalls();
    void makeCall(PeerCall peerCall);
    void beginStop();
    void finishStop();
    [[nodiscard]] Transport::Response health() const;

    const Settings::ControlSettings &settings_;
    const std::string operatorToken_;
    EventRing &events_;
    Metrics::Registry &metrics_;
    BoundedRing<PeerCall> calls_;
    std::atomic<bool> callsPosted_ = false;
    std::atomic<bool> ready_ = false;
    std::atomic<std::int64_t> lastRound_ = 0;
    ListenPorts ports_;
    Transport::EventLoop loop_;
    Transport::HttpServer operatorServer_;
    Transport::Http2Server internalServer_;
    Transport::Http2Server workerServer_;
    std::map<Transport::Endpoint, std::unique_ptr<Transport::Http2Client>> clients_;
    Transport::Timer tickTimer_;
    int openServers_ = 0;
    bool stopping_ = false;
};

} // namespace Pistachio::Controlnode
