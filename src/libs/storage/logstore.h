#pragma once

#include "core/result.h"
#include "replication/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Replication
{
struct RestoredState;
}

namespace Pistachio::Storage
{

class File;
class FileSystem;

namespace Internal
{
enum class RecordType : std::uint8_t;
struct ReplayedLog;
} // namespace Internal

/// The durable part of one replica: hard state, log and newest snapshot, in a folder of its own.
///
/// The log is a sequence of segments `log-<number>` of checksummed records; `snapshot-<index>` holds a snapshot and
/// `identity` the owner. After an Io error every further call fails: what a failed sync left on the disk is unknown,
/// and a second sync would report success without writing it.
class LogStore
{
public:
    struct Opened;

    /// A segment that has reached this size is closed. Small enough to be rewritten at a start within a second.
    static constexpr std::uint64_t defaultSegmentBytes = 8U << 20;

    /// Reads the folder, or creates it when it holds nothing.
    /// \param fileSystem holds the files; outlives the store
    /// \param folder the folder of this replica
    /// \param identity names the group and instance; data of another identity is refused
    /// \return the store and what it holds. Corrupt, with the repair step, for damage that no crash explains; a torn
    /// end of the log is cut off instead.
    static Result<Opened> open(FileSystem &fileSystem, std::string folder, std::string_view identity,
                               std::uint64_t segmentBytes = defaultSegmentBytes);
    ~LogStore();
    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;

    /// Writes a hard state and entries; they are durable after sync() only.
    /// \param hardState the new hard state, if it changed
    /// \param entries replace the log from the first one's index on
    /// \return Capacity when the disk is full or descriptors are missing, with nothing changed; the call may be
    /// repeated.
    Result<void> append(const std::optional<Replication::HardState> &hardState,
                        std::span<const Replication::Entry> entries);

    /// \return Io when it can't be told what is durable; the store has then failed for good.
    Result<void> sync();

    /// Replaces the log by a snapshot that came from the leader; durable on return.
    /// \param hardState the hard state that goes with it
    Result<void> installSnapshot(const Replication::Snapshot &snapshot, const Replication::HardState &hardState);

    /// Stores a snapshot of this replica; durable on return.
    /// \param firstKept segments with only entries before this index are removed
    /// \return why the snapshot is not stored or files that it replaces are left; the store can be used all the same.
    Result<void> compact(const Replication::Snapshot &snapshot, Replication::LogIndex firstKept);

    /// \return the number of syncs of the log since the start.
    [[nodiscard]] std::uint64_t syncCount() const { return syncCount_; }

private:
    struct Segment {
        std::uint64_t sequence = 0;
        Replication::LogIndex lastIndex = 0;
    };

    LogStore(FileSystem &fileSystem, std::string folder, std::uint64_t segmentBytes);
    Result<void> create(std::string_view identity);
    Result<Replication::RestoredState> load(std::string_view identity);
    Result<bool> isOwned(std::string_view identity, std::span<const std::string> names);
    Result<Replication::SnapshotPointer> loadSnapshot(std::span<const std::string> names);
    Result<void> loadSegments(std::span<const std::string> names, Internal::ReplayedLog &log);
    Result<void> loadSegment(std::uint64_t sequence, bool isLast, Internal::ReplayedLog &log);
    Result<void> reconcile(Internal::ReplayedLog &log, const Replication::Snapshot *snapshot);
    Result<void> startSegment(const Replication::HardState &hardState, const Replication::Snapshot *reset);
    Result<void> writeSnapshot(const Replication::Snapshot &snapshot);
    Result<void> removeSegmentsBefore(Replication::LogIndex firstKept);
    Result<void> removeIfPresent(std::string_view name);
    Result<void> checkUsable() const;
    Result<void> guard(Result<void> result);
    [[nodiscard]] std::string path(std::string_view name) const;
    [[nodiscard]] Error damaged(std::string_view name, std::string_view detail) const;
    void putRecord(std::string &out, Internal::RecordType type, std::string_view payload) const;

    FileSystem &fileSystem_;
    std::string folder_;
    std::uint64_t segmentBytes_;
    std::vector<Segment> segments_; ///< the last one is written to
    std::unique_ptr<File> file_;
    std::uint64_t size_ = 0; ///< of the last segment
    std::uint64_t durableBytes_ = 0; ///< of the last segment
    Replication::LogIndex snapshotIndex_ = 0;
    Replication::HardState hardState_; ///< as last appended
    std::optional<Error> failure_;
    std::uint64_t syncCount_ = 0;
};

} // namespace Pistachio::Storage
