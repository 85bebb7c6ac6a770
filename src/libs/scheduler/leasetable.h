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

/// How long a worker may run tasks, counted from when it created the sync that was answered.
constexpr Duration leaseDuration = 12s;
/// The leader counts a worker as lost this long after its last answer. Clock rates differ by at most 2%; 100 ms cover
/// the timer granularity on both sides.
constexpr Duration lossTimeout = leaseDuration + leaseDuration / 50 + 100ms;
/// A sync for which there are no orders is answered after this time (long polling).
constexpr Duration pollInterval = 3s;

/// The leader's side of the worker leases: the confirmed process of each worker, its outstanding sync, and the time at
/// which its lease has certainly expired.
///
/// The epoch of an answer is the leader's term. A process is confirmed once the epoch in its sync shows that it
/// received an answer of this leader. A delayed sync of a previous process can therefore never be taken for a restart
/// of the worker.
class LeaseTable
{
public:
    using Slot = std::uint32_t;

    enum class SyncResult : std::uint8_t {
        Ignored, ///< duplicate, out of order or from a previous process
        Unconfirmed, ///< from a process that is not confirmed yet; the answer has to ask for a full report
        Accepted, ///< from the confirmed process
        Restarted, ///< accepted, and the process replaces the one confirmed before
    };

    /// Starts a term of leadership, with no workers.
    void reset(TimePoint now, std::uint64_t term);

    /// Starts tracking a worker, which may hold a lease from a previous leader. Does nothing if it is tracked.
    void track(TimePoint now, Slot worker);

    /// Handles a sync of a worker. All but an ignored one replace the outstanding sync.
    /// \param epochSeen the epoch of the last answer that the process received
    /// \param full whether the sync is a full report
    SyncResult syncReceived(TimePoint now, Slot worker, const std::string &bootId, std::uint64_t sequence,
                            std::uint64_t epochSeen, bool full);

    /// Makes the outstanding sync of a worker, if any, due now.
    void answerSoon(TimePoint now, Slot worker);
    /// \param leadershipConfirmedAt syncs that arrived later are left out, since another leader may exist by now
    /// \return the workers whose outstanding sync is due. It stays due until answered().
    std::vector<Slot> dueWorkers(TimePoint now, TimePoint leadershipConfirmedAt);
    /// Renews the lease of a worker whose outstanding sync is answered now.
    void answered(TimePoint now, Slot worker);

    /// Stops tracking the workers whose lease has certainly expired; their next process has to be confirmed again.
    /// \return these workers.
    std::vector<Slot> takeExpired(TimePoint now);

    /// Removes a worker that is not tracked, with the boot IDs of its previous processes.
    void remove(Slot worker);

    /// \return whether the current process of the worker is confirmed.
    [[nodiscard]] bool isConfirmed(Slot worker) const;
    /// \return whether the worker may hold a lease.
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
        std::string bootId; // of the confirmed process; empty if none is confirmed
        std::uint64_t sequence = 0;
        std::string candidateBootId; // of a process that is not confirmed yet
        std::uint64_t candidateSequence = 0;
        std::string previousBootId; // of the process that was confirmed when the lease expired
        std::vector<std::string> retiredBootIds; // of previous processes, whose syncs are ignored
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
