#pragma once

#include "core/time.h"
#include "routing/balancer.h"
#include "routing/entryview.h"
#include "routing/minion.h"
#include "routing/minionhealth.h"
#include "routing/slotpolicy.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace Pistachio::Routing
{

/// The minions this entry knows, its share of each, and what it has in flight there.
class MinionTable
{
public:
    /// \param self the entry that owns the table
    /// \param policy divides the slots of a minion between the entries of the zone
    /// \param silence after which a minion is gone
    /// \param growthDelay before a larger share is used
    MinionTable(EntryInfo self, std::unique_ptr<SlotPolicy> policy, Duration silenceTimeout, Duration growthDelay);

    void recordAnnouncement(TimePoint now, const MinionAnnouncement &announcement);
    void markLeaving(const MinionId &minion);
    void setLiveEntries(TimePoint now, std::span<const EntryInfo> entries);
    /// Removes silent minions, ends ejections and lets shares grow.
    void update(TimePoint now);

    /// \param excluded minions not to be offered
    /// \return the minions of a service with a free slot for this entry.
    [[nodiscard]] std::vector<Candidate> candidates(const ServiceId &service, const std::set<MinionId> &excluded) const;
    [[nodiscard]] const std::string &address(const MinionId &minion) const;
    void acquireSlot(const MinionId &minion);
    /// Frees the slot of an attempt that is over, without judging the minion.
    void releaseSlot(const MinionId &minion);
    /// The minion refused an attempt for want of a slot or can't be reached.
    void recordRefusal(TimePoint now, const MinionId &minion);
    void recordSuccess(TimePoint now, const MinionId &minion, Duration latency);
    /// \return why the minion was ejected, or an empty view.
    std::string_view recordFailure(TimePoint now, const MinionId &minion);

    /// \return slots of all usable minions of the service that this entry may use.
    [[nodiscard]] std::uint32_t allowance(const ServiceId &service) const;
    [[nodiscard]] std::uint32_t inFlight(const ServiceId &service) const;
    /// \return the smoothed time a slot is held; zero when unknown.
    [[nodiscard]] Duration latency(const ServiceId &service) const;
    [[nodiscard]] std::size_t usableCount() const;
    /// \return whether a minion gets nothing for a short while because it refused.
    [[nodiscard]] bool hasBackingOffMinion() const;
    [[nodiscard]] std::vector<ServiceId> services() const;

private:
    struct Minion {
        MinionAnnouncement announcement;
        TimePoint lastAnnounced;
        bool leaving = false;
        std::uint32_t inFlight = 0;
        std::uint32_t inFlightWhenAnnounced = 0;
        MinionHealth health;
    };
    /// A rank that other entries may still assume; nothing means that they gave this entry no share.
    struct PastRank {
        std::optional<EntryRank> rank;
        TimePoint validUntil;
    };
    struct Service {
        std::set<MinionId> minions;
        Duration latency{};
    };

    [[nodiscard]] std::uint32_t currentAllowance(const Minion &minion) const;
    [[nodiscard]] std::uint32_t healthyAllowance(const Minion &minion) const;
    std::string_view ejectIfUnhealthy(TimePoint now, Minion &minion);
    [[nodiscard]] bool mayEject(const Minion &minion, std::string_view reason) const;
    void removeFromService(const Minion &minion);

    EntryInfo self_;
    std::unique_ptr<SlotPolicy> policy_;
    Duration silenceTimeout_;
    Duration growthDelay_;
    std::optional<EntryRank> rank_;
    std::vector<PastRank> pastRanks_;
    std::map<MinionId, Minion> minions_;
    std::map<ServiceId, Service> services_;
};

} // namespace Pistachio::Routing
