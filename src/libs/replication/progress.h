#pragma once

#include "core/time.h"
#include "replication/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace Pistachio::Replication
{

/// The in-flight window: the most that a leader sends to one follower ahead of its answers. 1 MiB covers 100 MB/s on
/// the longest link (8 ms).
constexpr std::uint64_t maxInFlightBytes = 1U << 20;
constexpr std::size_t maxInFlightMessages = 16;

/// Limits the entries in one message, so that a heartbeat never waits long behind one.
constexpr std::uint64_t maxMessageBytes = 256U << 10;

/// The size of a chunk of a snapshot, and the in-flight window of a snapshot transfer.
constexpr std::uint64_t snapshotChunkBytes = 64U << 10;
constexpr std::uint64_t maxSnapshotInFlightBytes = 4 * snapshotChunkBytes;

/// Without progress for this long, the next heartbeat probes the follower or resends snapshot chunks. Two heartbeat
/// intervals cover one lost message.
constexpr Duration retransmitTimeout = 600ms;

/// The replication state of one follower as its leader tracks it: what matches and what is in flight.
class Progress
{
public:
    enum class State : std::uint8_t {
        Probe, ///< the last matching entry is unknown: only empty appends are sent until an answer tells it
        Replicate, ///< entries are pipelined: sent ahead of the answers
        Snapshot, ///< the chunks of `snapshot()` are being sent
    };

    /// \param next the first entry to send
    Progress(TimePoint now, LogIndex next);

    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] LogIndex match() const { return match_; }
    [[nodiscard]] LogIndex next() const { return next_; }
    [[nodiscard]] TimePoint lastSent() const { return lastSent_; }
    [[nodiscard]] const std::optional<TimePoint> &lastAckedStamp() const { return lastAckedStamp_; }
    [[nodiscard]] const SnapshotPointer &snapshot() const { return snapshot_; }
    [[nodiscard]] std::uint64_t snapshotSent() const { return snapshotSent_; }
    [[nodiscard]] std::uint64_t snapshotAcked() const { return snapshotAcked_; }

    /// \return whether the in-flight window has space for more entries.
    [[nodiscard]] bool canSendEntries() const;

    /// \return whether something is in flight without progress for retransmitTimeout.
    [[nodiscard]] bool isStalled(TimePoint now) const;

    /// \param now the leader's time, which the message carries as stamp
    /// \param last the last entry in the message
    /// \param bytes the size of its entries, 0 for a heartbeat
    void recordSentEntries(TimePoint now, LogIndex last, std::uint64_t bytes);

    /// \param stamp the stamp of an answered message
    /// \return whether it is newer than every stamp answered before.
    bool recordAckedStamp(TimePoint stamp);

    /// Records that the follower's process has ended, until a newer message is answered.
    void recordStopped() { isStopped_ = true; }
    [[nodiscard]] bool isStopped() const { return isStopped_; }

    /// \param index the last entry that is durable at the follower and equal to the leader's
    void recordMatch(TimePoint now, LogIndex index);

    /// Records that the follower refused an entry that it had acknowledged.
    void recordDataLoss() { hasLostData_ = true; }
    [[nodiscard]] bool hasLostData() const { return hasLostData_; }

    /// Discards the in-flight window and probes from \p next on.
    void probeFrom(LogIndex next);
    void startReplicating(TimePoint now);

    void startSnapshot(TimePoint now, SnapshotPointer snapshot);
    void recordSentChunk(TimePoint now, std::uint64_t end);
    void recordAckedChunks(TimePoint now, std::uint64_t received);
    void restartChunksAt(TimePoint now, std::uint64_t offset);

private:
    struct InFlight {
        LogIndex last;
        std::uint64_t bytes;
    };

    State state_ = State::Replicate;
    LogIndex match_ = 0;
    LogIndex next_;
    std::deque<InFlight> inFlight_;
    std::uint64_t inFlightBytes_ = 0;
    TimePoint lastSent_;
    TimePoint lastProgress_; ///< when the in-flight window last advanced or was first filled
    std::optional<TimePoint> lastAckedStamp_;
    SnapshotPointer snapshot_;
    std::uint64_t snapshotSent_ = 0;
    std::uint64_t snapshotAcked_ = 0;
    bool hasLostData_ = false;
    bool isStopped_ = false;
};

} // namespace Pistachio::Replication
