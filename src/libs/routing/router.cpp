#include "routing/router.h"

#include "routing/routercore.h"

namespace Pistachio::Routing
{

class Router::Private : public Internal::RouterCore
{
public:
    using RouterCore::RouterCore;
};

Router::Router(RouterSettings settings, std::unique_ptr<Balancer> balancer, std::unique_ptr<SlotPolicy> slotPolicy,
               std::uint64_t seed)
    : d_(std::make_unique<Private>(std::move(settings), std::move(balancer), std::move(slotPolicy), seed))
{
}

Router::~Router() = default;

void Router::minionAnnounced(TimePoint now, const MinionAnnouncement &announcement)
{
    d_->minions_.recordAnnouncement(now, announcement);
    d_->dispatchQueued(now, announcement.service);
}

void Router::minionLeft(TimePoint, const MinionId &minion)
{
    d_->minions_.markLeaving(minion);
}

void Router::entriesChanged(TimePoint now, std::span<const EntryInfo> entries)
{
    d_->minions_.setLiveEntries(now, entries);
    d_->dispatchAllQueued(now);
}

void Router::peerReported(TimePoint now, const PeerReport &report)
{
    d_->peers_.recordReport(now, report);
}

void Router::requestArrived(TimePoint now, const Request &request)
{
    d_->requestArrived(now, request);
}

void Router::requestAbandoned(TimePoint now, const RequestId &request)
{
    d_->requestAbandoned(now, request);
}

void Router::claimAnswered(TimePoint now, const ClaimResult &result)
{
    d_->claimAnswered(now, result);
}

void Router::attemptFinished(TimePoint now, const AttemptResult &result)
{
    d_->attemptFinished(now, result);
}

void Router::drain()
{
    d_->draining_ = true;
}

void Router::tick(TimePoint now)
{
    d_->tick(now);
}

std::vector<Command> Router::takeCommands()
{
    return std::exchange(d_->commands_, {});
}

TimePoint Router::nextTick() const
{
    return d_->nextTick();
}

std::size_t Router::openRequests() const
{
    return d_->requests_.size();
}

std::size_t Router::queuedRequests() const
{
    return d_->queuedRequests();
}

std::size_t Router::usableMinions() const
{
    return d_->minions_.usableCount();
}

std::vector<ServiceLoad> Router::loads() const
{
    return d_->loads();
}

} // namespace Pistachio::Routing
