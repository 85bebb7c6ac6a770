#pragma once

#include "core/random.h"
#include "core/time.h"
#include "routing/commands.h"
#include "routing/entryview.h"
#include "routing/events.h"
#include "routing/minion.h"
#include "routing/routersettings.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace Pistachio::Routing
{

class Balancer;
class SlotPolicy;

/// Decides for one entry where each request is sent and what its caller is told. It does no I/O: it takes events with
/// the current time and returns commands.
class Router
{
public:
    /// \param settings identity and limits of the entry
    /// \param balancer chooses among minions with a free slot
    /// \param slotPolicy divides the slots of a minion among the entries
    /// \param seed seed of all random choices
    Router(RouterSettings settings, std::unique_ptr<Balancer> balancer, std::unique_ptr<SlotPolicy> slotPolicy,
           std::uint64_t seed);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Adds or updates a minion. A leaving minion that announces itself again gets requests again.
    void minionAnnounced(TimePoint now, const MinionAnnouncement &announcement);
    /// Sends no new requests to the minion; its requests in flight continue.
    void minionLeft(TimePoint now, const MinionId &minion);
    /// \param entries the live entries of all known zones, this one included
    void entriesChanged(TimePoint now, std::span<const EntryInfo> entries);
    void peerReported(TimePoint now, const PeerReport &report);

    void requestArrived(TimePoint now, const Request &request);
    /// The caller closed its connection: a waiting request is dropped, a claimed or sent one continues.
    void requestAbandoned(TimePoint now, const RequestId &request);
    void claimAnswered(TimePoint now, const ClaimResult &result);
    void attemptFinished(TimePoint now, const AttemptResult &result);
    /// Refuses new requests; accepted ones are finished.
    void drain();
    /// Handles expired deadlines and timeouts, due retries, silent minions and ended ejections.
    void tick(TimePoint now);

    /// \return the commands decided since the last call, in order.
    std::vector<Command> takeCommands();
    /// \return the next time at which `tick` has something to do, or TimePoint::max().
    [[nodiscard]] TimePoint nextTick() const;
    /// \return the number of accepted requests that are not answered yet.
    [[nodiscard]] std::size_t openRequests() const;
    /// \return the number of requests waiting for a slot.
    [[nodiscard]] std::size_t queuedRequests() const;
    /// \return the number of minions that may get requests.
    [[nodiscard]] std::size_t usableMinions() const;
    /// \return the free slots and waiting requests of each service, for reports to other entries.
    [[nodiscard]] std::vector<ServiceLoad> loads() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Pistachio::Routing
