#include "entrynode/network.h"

#include "entrynode/wireentries.h"
#include "logging/logger.h"
#include "metrics/registry.h"
#include "settings/entrysettings.h"

#include <entry.pb.h>
#include <zone.pb.h>

#include <csignal>

namespace Pistachio::Entrynode
{

using Logging::LogLevel;
using Transport::EventLoop;

namespace
{

constexpr Duration pollPause = 20ms; ///< bounds the polls when each one is answered at once
constexpr Duration pollRetryPause = 500ms;
/// Well below the 12 s after which an entry counts as silent, also with the 3 s of the poll.
constexpr Duration heartbeatPause = 2s;
constexpr Duration pollPauseWhenDraining = 2s;
constexpr std::uint64_t pollsPerWarning = 10;
constexpr Duration announceInterval = 250ms;
/// Time for load balancers and peers to notice that the entry is unready; requests are still served meanwhile.
constexpr Duration drainNotice = 2s;
constexpr Duration idleCheckInterval = 20ms;
constexpr Duration serverStopLimit = 500ms;

} // namespace

bool Network::run()
{
    started_ = EventLoop::now();
    loop_.onSignals({SIGTERM, SIGINT}, [this](int) { beginDrain(); });
    deliver(Tick{});
    settlement_.ensure(settings_.zone);
    poll();
    announceToPeers();
    loop_.run();
    return !cutOff_;
}

Wire::EntryInstance Network::self() const
{
    const auto address = [](Settings::Address configured, std::uint16_t port) {
        configured.port = port;
        return configured.toString();
    };
    Wire::EntryInstance result;
    result.set_id(settings_.instance.value());
    result.set_zone(settings_.zone.value());
    result.set_region(settings_.region);
    result.set_internal(address(settings_.listenInternal, ports_.internal));
    result.set_minions(address(settings_.listenMinions, ports_.minions));
    return result;
}

Wire::ConfigurationPoll Network::configurationPoll() const
{
    Wire::ConfigurationPoll result;
    result.set_entry(settings_.instance.value());
    result.set_zone(settings_.zone.value());
    result.set_version_in_force(configuration_.version());
    *result.mutable_self() = self();
    result.set_leaving(draining_);
    return result;
}

void Network::poll()
{
    zones_.poll(settings_.zone, configurationPoll(),
                [this](const Result<Wire::ConfigurationPush> &push) { polled(push); });
}

// The leader of a key's home zone must hear from the entry, or it would take its claims for those of a dead one; and it
// must notice when the entry dies.
void Network::startHeartbeats()
{
    for (const ZoneId &zone : settlement_.settledZones()) {
        if (zone != settings_.zone && heartbeats_.try_emplace(zone).second)
            heartbeat(zone);
    }
}

void Network::heartbeat(const ZoneId &zone)
{
    zones_.poll(zone, configurationPoll(), [this, zone](const Result<Wire::ConfigurationPush> &push) {
        const Duration pause = push && !draining_ ? heartbeatPause : pollRetryPause;
        heartbeats_[zone] = loop_.callAfter(pause, [this, zone] { heartbeat(zone); });
    });
}

void Network::polled(const Result<Wire::ConfigurationPush> &push)
{
    Duration pause = pollPause;
    if (!push) {
        pause = pollRetryPause;
        if (failedPolls_++ % pollsPerWarning == 0) {
            logger_.write(LogLevel::Warning, "control-unreachable",
                          {{"zone", settings_.zone.value()},
                           {"reason", push.error().message},
                           {"ready", obstacle().empty()},
                           {"version_in_force", configuration_.version()}});
        }
    } else {
        failedPolls_ = 0;
        if (configuration_.apply(push.value())) {
            logger_.write(LogLevel::Info, "configuration-in-force",
                          {{"version", configuration_.version()}, {"floor", configuration_.floor()}});
        }
        metrics_.set("entry_configuration_version", static_cast<double>(configuration_.version()));
        std::vector<Wire::EntryInstance> entries(push.value().entries().begin(), push.value().entries().end());
        if (entries.empty())
            entries.push_back(self());
        EntriesChanged changed;
        for (const Wire::EntryInstance &entry : entries)
            changed.entries.push_back(toEntryInfo(entry));
        // While it drains, the view no longer lists this entry; it keeps its shares for the requests it still has, and
        // the others wait before they use them.
        if (!draining_)
            deliver(std::move(changed));
        peers_.viewChanged(EventLoop::now(), entries);
    }
    if (draining_)
        pause = pollPauseWhenDraining;
    pollTimer_ = loop_.callAfter(pause, [this] { poll(); });
}

Wire::EntryAnnounce Network::announcement() const
{
    Wire::EntryAnnounce result;
    *result.mutable_entry() = self();
    result.set_draining(draining_ || !configuration_.obstacle().empty());
    for (const Routing::ServiceLoad &load : status_.loads) {
        Wire::ServiceLoad &written = *result.add_services();
        written.set_service(load.service.value());
        written.set_free_slots(load.freeSlots);
        written.set_queued(load.queued);
    }
    for (const MinionId &minion : minionsLeft_)
        result.add_minions_left(minion.value());
    return result;
}

void Network::announceToPeers()
{
    peers_.announce(EventLoop::now(), announcement());
    startHeartbeats();
    const std::string_view current = obstacle();
    if (current != lastObstacle_) {
        lastObstacle_ = current;
        if (current.empty())
            logger_.write(LogLevel::Info, "ready", {{"version", configuration_.version()}});
        else
            logger_.write(LogLevel::Warning, "not-ready", {{"reason", current}});
    }
    announceTimer_ = loop_.callAfter(announceInterval, [this] { announceToPeers(); });
}

void Network::beginDrain()
{
    if (draining_)
        return;
    draining_ = true;
    logger_.write(LogLevel::Info, "draining", {{"open_requests", status_.openRequests}});
    drainDeadline_ = EventLoop::now() + drainNotice + settings_.limits.drainTimeout;
    proxy_.closeConnections();
    poll();
    peers_.announceToAll(announcement());
    drainTimer_ = loop_.callAfter(drainNotice, [this] { stopCallers(); });
}

void Network::stopCallers()
{
    // Requests that are read while the connections close are still served; the decisions drain afterwards.
    callers_.stop(settings_.limits.drainTimeout, [this] { callersStopped_ = true; });
    finishWhenIdle();
}

void Network::finishWhenIdle()
{
    const bool idle = callersStopped_ && status_.openRequests == 0 && finishes_.size() == 0 && undelivered_.empty();
    const bool late = EventLoop::now() >= drainDeadline_;
    if (!idle && !late) {
        drainTimer_ = loop_.callAfter(idleCheckInterval, [this] { finishWhenIdle(); });
        return;
    }
    cutOff_ = !idle;
    logger_.write(idle ? LogLevel::Info : LogLevel::Error, "drained",
                  {{"open_requests", status_.openRequests}, {"unconfirmed_finishes", finishes_.size()}});
    deliver(Drain{});
    stopServers();
}

void Network::stopServers()
{
    minions_.stop(serverStopLimit, [] {});
    internal_.stop(serverStopLimit, [this] { loop_.stop(); });
}

} // namespace Pistachio::Entrynode
