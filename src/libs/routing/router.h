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

/// Decides for one entry where each request goes and what its caller is told. Takes events and the time, yields
/// commands.
class Router
{
public:
    /// \param settings limits and identity of the entry
    /// \param balancer chooses among free minions
    /// \param slotPolicy divides the slots of a minion between entries
    /// \param seed of all random choices
    Router(RouterSettings settings, std::unique_ptr<Balancer> balancer, std::unique_ptr<SlotPolicy> slotPolicy,
           std::uint64_t seed);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Adds a minion or renews it; a minion that was leaving and announces again is back.
    void minionAnnounced(TimePoint now, const MinionAnnouncement &announcement);
    /// Gives the minion nothing new; its requests in flight go on.
    void minionLeft(TimePoint now, const MinionId &minion);
    /// \param entries the live entries of all known zones, this one included
    void entriesChanged(TimePoint now, std::span<const EntryInfo> entries);
    void peerReported(TimePoint now, const PeerReport &report);

    void requestArrived(TimePoint now, const Request &request);
    /// The caller closed its connection: a waiting request is dropped, one in flight ends as it would have.
    void requestAbandoned(TimePoint now, const RequestId &request);
    void claimAnswered(TimePoint now, const ClaimResult &result);
    void attemptFinished(TimePoint now, const AttemptResult &result);
    /// Refuses requests that arrive from now on; those accepted are finished.
    void drain();
    /// Expires deadlines, retries, silent minions and ejections.
    void tick(TimePoint now);

    /// \return the commands decided since the last call, in order.
    std::vector<Command> takeCommands();
    /// \return the next time at which `tick` has something to do, or TimePoint::max().
    [[nodiscard]] TimePoint nextTick() const;
    /// \return requests accepted and not answered.
    [[nodiscard]] std::size_t openRequests() const;
    /// \return requests waiting for a slot.
    [[nodiscard]] std::size_t queuedRequests() const;
    /// \return minions that may get requests.
    [[nodiscard]] std::size_t usableMinions() const;
    /// \return what this entry can take over, by service.
    [[nodiscard]] std::vector<ServiceLoad> loads() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Pistachio::Routing
