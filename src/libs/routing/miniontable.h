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

/// The minions that this entry knows, the slots it may use of each, and its requests in flight there.
class MinionTable
{
public:
    /// \param self the entry that owns the table
    /// \param policy divides the slots of a minion among the entries of the zone
    /// \param silenceTimeout time without an announcement after which a minion is removed
    /// \param growthDelay time before a larger share of the slots is used
    MinionTable(EntryInfo self, std::unique_ptr<SlotPolicy> policy, Duration silenceTimeout, Duration growthDelay);

    void recordAnnouncement(TimePoint now, const MinionAnnouncement &announcement);
    void markLeaving(const MinionId &minion);
    void setLiveEntries(TimePoint now, std::span<const EntryInfo> entries);
    /// Removes silent minions, ends ejections and starts to use larger shares.
    void update(TimePoint now);

    /// \param excluded minions to leave out
    /// \return the minions of a service with a free slot for this entry.
    [[nodiscard]] std::vector<Candidate> candidates(const ServiceId &service, const std::set<MinionId> &excluded) const;
    [[nodiscard]] const std::string &address(const MinionId &minion) const;
    void acquireSlot(const MinionId &minion);
    /// Frees the slot of an ended attempt. Does not affect the health of the minion.
    void releaseSlot(const MinionId &minion);
    /// Records that the minion had no free slot or could not be reached.
    void recordRefusal(TimePoint now, const MinionId &minion);
    void recordSuccess(TimePoint now, const MinionId &minion, Duration latency);
    /// \return why the minion was ejected, or an empty view when it was not.
    std::string_view recordFailure(TimePoint now, const MinionId &minion);

    /// \return how many slots this entry may use on the usable minions of the service; 0 without any.
    [[nodiscard]] std::uint32_t allowance(const ServiceId &service) const;
    [[nodiscard]] std::uint32_t inFlight(const ServiceId &service) const;
    /// \return the smoothed time a slot is held; zero when unknown.
    [[nodiscard]] Duration latency(const ServiceId &service) const;
    [[nodiscard]] std::size_t usableCount() const;
    /// \return whether any minion gets no requests for a short time because it refused one.
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
    /// An earlier rank that other entries may still assume; without a value they assume no share for this entry.
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
