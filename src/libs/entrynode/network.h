#pragma once

#include "entrynode/claimsettlement.h"
#include "entrynode/configurationstate.h"
#include "entrynode/entrynode.h"
#include "entrynode/events.h"
#include "entrynode/finishqueue.h"
#include "entrynode/peerlinks.h"
#include "entrynode/requestproxy.h"
#include "entrynode/zoneclient.h"
#include "transport/eventloop.h"
#include "transport/http2server.h"
#include "transport/httpserver.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Pistachio::Logging
{
class Logger;
}

namespace Pistachio::Settings
{
struct EntrySettings;
}

namespace Pistachio::Entrynode
{

/// The sockets of the process. All of it runs on the network thread, but for what says otherwise.
class Network
{
public:
    /// \param settings addresses and limits
    /// \param bootId tells restarts of the entry apart
    /// \param events to the decisions
    /// \param orders from the decisions
    Network(const Settings::EntrySettings &settings, std::string bootId, EventRing &events, OrderRing &orders,
            Metrics::Registry &metrics, Logging::Logger &logger);
    ~Network();

    Result<void> listen();
    [[nodiscard]] ListenPorts ports() const { return ports_; }

    /// Serves until a signal came and everything in flight has ended.
    /// \return whether nothing had to be cut off.
    bool run();

    /// Has the orders carried out; from any thread.
    void wake();

private:
    void handleCaller(Transport::Request request, const Transport::Responder &responder);
    void handleService(ServiceRequest parsed, Transport::Request request, const Transport::Responder &responder);
    void handleOutcome(const std::string &key, const Transport::Responder &responder);
    void handleMinion(const Transport::Request &request, const Transport::Responder &responder);
    void announced(const Transport::Request &request, const Transport::Responder &responder);
    void handleInternal(const Transport::Request &request, const Transport::Responder &responder);
    void handleForward(const Transport::Request &request, const Transport::Responder &responder);
    void handleAnnounce(const Transport::Request &request, const Transport::Responder &responder);
    void reject(const Transport::Responder &responder, std::string_view port, int status, std::string_view message);
    void noteRejected(std::string_view port, int status, std::string_view reason);

    [[nodiscard]] std::string_view obstacle() const;
    [[nodiscard]] Routing::RequestId nextRequest();
    void deliver(Event event);
    bool offer(Event event);
    void flush();
    void takeOrders();
    void scheduleTick();

    void poll();
    void polled(const Result<Wire::ConfigurationPush> &push);
    [[nodiscard]] Wire::ConfigurationPoll configurationPoll() const;
    void startHeartbeats();
    void heartbeat(const ZoneId &zone);
    void announceToPeers();
    [[nodiscard]] Wire::EntryAnnounce announcement() const;
    [[nodiscard]] Wire::EntryInstance self() const;

    void beginDrain();
    void stopCallers();
    void finishWhenIdle();
    void stopServers();

    const Settings::EntrySettings &settings_;
    const std::string bootId_;
    EventRing &events_;
    OrderRing &orders_;
    Metrics::Registry &metrics_;
    Logging::Logger &logger_;
    ListenPorts ports_;

    Transport::EventLoop loop_;
    ConfigurationState configuration_;
    ZoneClient zones_;
    FinishQueue finishes_;
    ClaimSettlement settlement_;
    PeerLinks peers_;
    RequestProxy proxy_;
    std::shared_ptr<Transport::MemoryBudget> memory_; ///< for what clients and other entries send
    Transport::HttpServer callers_;
    Transport::HttpServer minions_;
    Transport::Http2Server internal_;

    std::deque<Event> undelivered_; ///< events that found the ring full
    std::atomic<bool> woken_ = false;
    Status status_;
    std::set<MinionId> minionsLeft_; ///< told to the peers with the next report
    std::string lastObstacle_;
    std::uint64_t requests_ = 0;
    std::uint64_t failedPolls_ = 0;
    TimePoint started_;
    TimePoint drainDeadline_;
    bool draining_ = false;
    bool callersStopped_ = false;
    bool cutOff_ = false;
    TimePoint tickAt_ = TimePoint::max();
    Transport::Timer tickTimer_;
    Transport::Timer flushTimer_;
    Transport::Timer pollTimer_;
    Transport::Timer announceTimer_;
    std::map<ZoneId, Transport::Timer> heartbeats_; ///< to the other zones that hold claims of this entry
    Transport::Timer drainTimer_;
};

} // namespace Pistachio::Entrynode
