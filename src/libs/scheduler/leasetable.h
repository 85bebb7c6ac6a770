#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Pistachio::Scheduler
{

/// The worker measures this from when it sent the answered sync.
constexpr Duration leaseDuration = 12s;
/// Rates of two clocks differ by at most 2%; 100 ms cover the granularity of timers on both sides.
constexpr Duration lossTimeout = leaseDuration + leaseDuration / 50 + 100ms;
/// A sync without news is answered after this time.
constexpr Duration pollInterval = 3s;

/// The leader's side of the leases: which process speaks for a worker, which sync waits for an answer, and when a
/// worker that is not answered counts as lost.
///
/// A process of a worker is accepted once it has shown, by the epoch it has seen, that it received an answer of this
/// leader. A sync of an earlier process that was delayed on the way can therefore never pass for a restart.
class LeaseTable
{
public:
    using Slot = std::uint32_t;

    enum class SyncResult : std::uint8_t {
        Ignored, ///< duplicate, out of order or of an earlier process
        Unconfirmed, ///< first sync of this process; to be answered with the demand for a full report
        Accepted,
        Restarted, ///< accepted, and the process that spoke before is gone
    };

    /// Starts a term of leadership without workers.
    void reset(TimePoint now, std::uint64_t term);

    /// Counts the lease of a worker that may hold one of an earlier leader.
    void track(TimePoint now, Slot worker);

    SyncResult syncReceived(TimePoint now, Slot worker, const std::string &bootId, std::uint64_t sequence,
                            std::uint64_t epochSeen, bool full);

    /// Makes the outstanding sync of a worker due.
    void answerSoon(TimePoint now, Slot worker);
    /// \param confirmed syncs that arrived later stay due, since another leader may exist by now
    /// \return the workers whose outstanding sync is due. Each has to be answered or made due again.
    std::vector<Slot> dueWorkers(TimePoint now, TimePoint leadershipConfirmedAt);
    /// Renews the lease: the outstanding sync is answered now.
    void answered(TimePoint now, Slot worker);

    /// \return the workers whose lease has certainly expired. They need a new introduction.
    std::vector<Slot> takeExpired(TimePoint now);

    /// Forgets a worker that is not tracked, with its earlier processes.
    void remove(Slot worker);

    [[nodiscard]] bool isConfirmed(Slot worker) const;
    [[nodiscard]] bool isTracked(Slot worker) const;
    [[nodiscard]] bool hasOutstanding(Slot worker) const;
    [[nodiscard]] std::uint64_t outstandingSequence(Slot worker) const;
    [[nodiscard]] const std::string &outstandingBootId(Slot worker) const;
    [[nodiscard]] TimePoint lastSync(Slot worker) const;

private:
    struct Outstanding {
        std::string bootId;
        std::uint64_t sequence = 0;
        TimePoint arrived{};
        TimePoint due{};
    };
    struct Lease {
        bool tracked = false;
        std::string bootId; // empty: none confirmed
        std::uint64_t sequence = 0;
        std::string candidateBootId;
        std::uint64_t candidateSequence = 0;
        std::string previousBootId; // confirmed when the lease expired
        std::vector<std::string> retiredBootIds;
        std::optional<Outstanding> outstanding;
        TimePoint expiry{};
        TimePoint lastSync{};
    };

    Lease &leaseOf(Slot worker);
    void setOutstanding(Slot worker, const std::string &bootId, std::uint64_t sequence, TimePoint now, TimePoint due);
    void setExpiry(Slot worker, TimePoint expiry);

    std::uint64_t term_ = 0;
    std::vector<Lease> leases_;
    std::set<std::pair<TimePoint, Slot>> due_;
    std::set<std::pair<TimePoint, Slot>> expiries_;
};

} // namespace Pistachio::Scheduler
