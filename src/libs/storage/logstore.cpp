#include "storage/logstore.h"

#include "replication/replica.h"
#include "storage/durablefile.h"
#include "storage/filesystem.h"
#include "storage/openedlog.h"
#include "storage/record.h"
#include "storage/segment.h"
#include "storage/snapshotfile.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Pistachio::Storage
{

using Replication::Entry;
using Replication::HardState;
using Replication::LogIndex;
using Replication::RestoredState;
using Replication::Snapshot;
using Replication::SnapshotPointer;

namespace
{

constexpr std::string_view identityName = "identity";
constexpr std::string_view repairStep
    = "; remove this instance from the group, empty the folder and add the instance anew";

/// \return the numbers in the names with \p prefix, ascending.
std::vector<std::uint64_t> numbered(std::span<const std::string> names, std::string_view prefix)
{
    std::vector<std::uint64_t> numbers;
    for (const std::string &name : names) {
        if (const std::uint64_t number = Internal::numberInName(prefix, name); number > 0)
            numbers.push_back(number);
    }
    std::ranges::sort(numbers);
    return numbers;
}

} // namespace

LogStore::LogStore(FileSystem &fileSystem, std::string folder, std::uint64_t segmentBytes)
    : fileSystem_(fileSystem)
    , folder_(std::move(folder))
    , segmentBytes_(segmentBytes)
{
}

LogStore::~LogStore() = default;

Result<LogStore::Opened> LogStore::open(FileSystem &fileSystem, std::string folder, std::string_view identity,
                                        std::uint64_t segmentBytes)
{
    std::unique_ptr<LogStore> store(new LogStore(fileSystem, std::move(folder), segmentBytes));
    BOOST_OUTCOME_TRY(auto state, store->load(identity));
    return Opened{std::move(store), std::move(state)};
}

Result<RestoredState> LogStore::load(std::string_view identity)
{
    BOOST_OUTCOME_TRYV(fileSystem_.createFolder(folder_));
    BOOST_OUTCOME_TRY(auto names, fileSystem_.list(folder_));
    for (const std::string &name : names) {
        if (name.ends_with(Internal::unfinishedSuffix)) {
            BOOST_OUTCOME_TRYV(fileSystem_.remove(path(name)));
        }
    }
    // A rename that was read back may still be lost unless the folder was synced.
    BOOST_OUTCOME_TRYV(fileSystem_.syncFolder(folder_));
    BOOST_OUTCOME_TRY(const bool owned, isOwned(identity, names));
    if (!owned) {
        BOOST_OUTCOME_TRYV(create(identity));
        return RestoredState{};
    }
    RestoredState state;
    BOOST_OUTCOME_TRY(state.snapshot, loadSnapshot(names));
    Internal::ReplayedLog log;
    BOOST_OUTCOME_TRYV(loadSegments(names, log));
    BOOST_OUTCOME_TRYV(reconcile(log, state.snapshot.get()));
    state.hardState = hardState_;
    state.entries = std::move(log.entries);
    return state;
}

Result<bool> LogStore::isOwned(std::string_view identity, std::span<const std::string> names)
{
    if (std::ranges::find(names, identityName) != names.end()) {
        BOOST_OUTCOME_TRY(const auto stored, fileSystem_.read(path(identityName)));
        if (stored != identity)
            return damaged(identityName, "holds \"" + stored + "\" instead of \"" + std::string(identity) + '"');
        return true;
    }
    // The identity is written last, after the first segment, which then holds no entry.
    const auto segments = numbered(names, Internal::segmentPrefix);
    if (segments.size() > 1 || !numbered(names, Internal::snapshotPrefix).empty())
        return damaged(identityName, "is missing");
    if (segments.empty())
        return false;
    const std::string name = Internal::numberedName(Internal::segmentPrefix, segments.front());
    BOOST_OUTCOME_TRY(const auto bytes, fileSystem_.read(path(name)));
    Internal::ReplayedLog log;
    const auto segment = Internal::replaySegment(bytes, segments.front(), true, log);
    if (!segment || segment.value().validBytes != bytes.size() || !log.entries.empty() || log.resetIndex > 0)
        return damaged(identityName, "is missing");
    BOOST_OUTCOME_TRYV(fileSystem_.remove(path(name)));
    return false;
}

Result<void> LogStore::create(std::string_view identity)
{
    BOOST_OUTCOME_TRYV(startSegment({}, nullptr));
    return Internal::writeDurably(fileSystem_, folder_, std::string(identityName), identity);
}

Result<SnapshotPointer> LogStore::loadSnapshot(std::span<const std::string> names)
{
    const auto indexes = numbered(names, Internal::snapshotPrefix);
    if (indexes.empty())
        return SnapshotPointer();
    snapshotIndex_ = indexes.back();
    const std::string name = Internal::numberedName(Internal::snapshotPrefix, snapshotIndex_);
    BOOST_OUTCOME_TRY(const auto bytes, fileSystem_.read(path(name)));
    auto snapshot = Internal::decodeSnapshot(bytes);
    if (!snapshot)
        return damaged(name, snapshot.error().message);
    if (snapshot.value()->index != snapshotIndex_)
        return damaged(name, "holds another index");
    for (std::size_t i = 0; i + 1 < indexes.size(); ++i) {
        BOOST_OUTCOME_TRYV(fileSystem_.remove(path(Internal::numberedName(Internal::snapshotPrefix, indexes[i]))));
    }
    return snapshot;
}

Result<void> LogStore::loadSegments(std::span<const std::string> names, Internal::ReplayedLog &log)
{
    auto sequences = numbered(names, Internal::segmentPrefix);
    if (sequences.empty())
        return damaged(Internal::segmentPrefix, "no segment of the log exists");
    // Removals of old segments become durable in any order, so only the unbroken run up to the last one counts. Whether
    // too much is missing shows when the entries are compared with the snapshot.
    std::size_t first = sequences.size() - 1;
    while (first > 0 && sequences[first - 1] + 1 == sequences[first])
        --first;
    for (std::size_t i = 0; i < first; ++i) {
        BOOST_OUTCOME_TRYV(fileSystem_.remove(path(Internal::numberedName(Internal::segmentPrefix, sequences[i]))));
    }
    sequences.erase(sequences.begin(), sequences.begin() + static_cast<std::ptrdiff_t>(first));
    for (const std::uint64_t sequence : sequences) {
        BOOST_OUTCOME_TRYV(loadSegment(sequence, sequence == sequences.back(), log));
    }
    if (!log.hardState)
        return damaged(Internal::segmentPrefix, "no hard state");
    hardState_ = *log.hardState;
    return success();
}

Result<void> LogStore::loadSegment(std::uint64_t sequence, bool isLast, Internal::ReplayedLog &log)
{
    const std::string name = Internal::numberedName(Internal::segmentPrefix, sequence);
    BOOST_OUTCOME_TRY(const auto bytes, fileSystem_.read(path(name)));
    auto replayed = Internal::replaySegment(bytes, sequence, isLast, log);
    if (!replayed)
        return damaged(name, replayed.error().message);
    const Internal::ReplayedSegment &segment = replayed.value();
    if (segment.header.sequence != sequence || (!segments_.empty() && segment.header.previousBytes != size_))
        return damaged(name, "does not continue the segment before");
    segments_.push_back({sequence, segment.lastIndex});
    size_ = segment.validBytes;
    if (!isLast)
        return success();
    // Written anew, because what a crash or a failed sync left can be read back without being durable.
    BOOST_OUTCOME_TRYV(
        Internal::writeDurably(fileSystem_, folder_, name, std::string_view(bytes).substr(0, segment.validBytes)));
    BOOST_OUTCOME_TRY(file_, fileSystem_.openForAppend(path(name)));
    durableBytes_ = size_;
    return success();
}

Result<void> LogStore::reconcile(Internal::ReplayedLog &log, const Snapshot *snapshot)
{
    const LogIndex index = snapshot ? snapshot->index : 0;
    if (log.resetIndex > index)
        return damaged(Internal::snapshotPrefix, "snapshot " + std::to_string(log.resetIndex) + " is missing");
    if (!log.entries.empty() && log.entries.front().index > index + 1)
        return damaged(Internal::segmentPrefix, "entries after " + std::to_string(index) + " are missing");
    if (!snapshot)
        return success();
    if (!log.entries.empty()) {
        const LogIndex first = log.entries.front().index;
        const bool isShort = first + log.entries.size() <= index;
        const bool differs = !isShort && first <= index && log.entries[index - first].term != snapshot->term;
        if (isShort || differs)
            log.entries.clear();
    }
    // The crash came between a snapshot from the leader and the reset of the log.
    if (log.entries.empty() && log.resetIndex != index)
        return startSegment(hardState_, snapshot);
    return success();
}

Result<void> LogStore::append(const std::optional<HardState> &hardState, std::span<const Entry> entries)
{
    BOOST_OUTCOME_TRYV(checkUsable());
    if (size_ >= segmentBytes_) {
        BOOST_OUTCOME_TRYV(guard(startSegment(hardState_, nullptr)));
    }
    const HardState last = hardState.value_or(hardState_);
    HardState first = last;
    // A torn write must not commit the entries that it was to replace, so their commit index follows the new ones.
    if (!entries.empty())
        first.commit = hardState_.commit;
    std::string bytes;
    if (first != hardState_)
        putRecord(bytes, Internal::RecordType::HardState, Internal::encodeHardState(first));
    for (const Entry &entry : entries)
        putRecord(bytes, Internal::RecordType::Entry, Internal::encodeEntry(entry));
    if (last != first)
        putRecord(bytes, Internal::RecordType::HardState, Internal::encodeHardState(last));
    const auto written = file_->append(bytes);
    if (!written) {
        // A part may have been written, which must not precede what is written next.
        BOOST_OUTCOME_TRYV(guard(file_->truncate(size_)));
        return guard(written);
    }
    size_ += bytes.size();
    hardState_ = last;
    for (const Entry &entry : entries)
        segments_.back().lastIndex = std::max(segments_.back().lastIndex, entry.index);
    return success();
}

Result<void> LogStore::sync()
{
    BOOST_OUTCOME_TRYV(checkUsable());
    ++syncCount_;
    const auto synced = file_->sync();
    if (!synced) {
        failure_ = failure(ErrorCode::Io, "sync of the log in " + folder_ + " failed: " + synced.error().message);
        return *failure_;
    }
    durableBytes_ = size_;
    return success();
}

Result<void> LogStore::installSnapshot(const Snapshot &snapshot, const HardState &hardState)
{
    BOOST_OUTCOME_TRYV(checkUsable());
    BOOST_OUTCOME_TRYV(guard(writeSnapshot(snapshot)));
    BOOST_OUTCOME_TRYV(guard(startSegment(hardState, &snapshot)));
    return guard(removeSegmentsBefore(std::numeric_limits<LogIndex>::max()));
}

Result<void> LogStore::compact(const Snapshot &snapshot, LogIndex firstKept)
{
    BOOST_OUTCOME_TRYV(checkUsable());
    // Until the new snapshot is durable, nothing that it replaces is removed, so a failure leaves the log as it was.
    BOOST_OUTCOME_TRYV(writeSnapshot(snapshot));
    return removeSegmentsBefore(firstKept);
}

Result<void> LogStore::startSegment(const HardState &hardState, const Snapshot *reset)
{
    if (size_ > durableBytes_) {
        BOOST_OUTCOME_TRYV(sync());
    }
    const std::uint64_t sequence = segments_.empty() ? 1 : segments_.back().sequence + 1;
    const std::string name = Internal::numberedName(Internal::segmentPrefix, sequence);
    std::string bytes;
    const auto put = [&](Internal::RecordType type, std::string_view payload) {
        Internal::putRecord(bytes, sequence, bytes.size(), type, 0, payload);
    };
    put(Internal::RecordType::Header, Internal::encodeHeader({sequence, size_}));
    put(Internal::RecordType::HardState, Internal::encodeHardState(hardState));
    if (reset)
        put(Internal::RecordType::Reset, Internal::encodePosition({reset->index, reset->term}));
    BOOST_OUTCOME_TRYV(Internal::writeDurably(fileSystem_, folder_, name, bytes));
    BOOST_OUTCOME_TRY(file_, fileSystem_.openForAppend(path(name)));
    segments_.push_back({sequence, 0});
    size_ = bytes.size();
    durableBytes_ = size_;
    hardState_ = hardState;
    return success();
}

Result<void> LogStore::writeSnapshot(const Snapshot &snapshot)
{
    const std::string name = Internal::numberedName(Internal::snapshotPrefix, snapshot.index);
    BOOST_OUTCOME_TRYV(Internal::writeDurably(fileSystem_, folder_, name, Internal::encodeSnapshot(snapshot)));
    const LogIndex previous = std::exchange(snapshotIndex_, snapshot.index);
    if (previous == 0 || previous == snapshot.index)
        return success();
    return removeIfPresent(Internal::numberedName(Internal::snapshotPrefix, previous));
}

Result<void> LogStore::removeSegmentsBefore(LogIndex firstKept)
{
    while (segments_.size() > 1 && segments_.front().lastIndex < firstKept) {
        BOOST_OUTCOME_TRYV(
            removeIfPresent(Internal::numberedName(Internal::segmentPrefix, segments_.front().sequence)));
        segments_.erase(segments_.begin());
    }
    return success();
}

Result<void> LogStore::removeIfPresent(std::string_view name)
{
    auto removed = fileSystem_.remove(path(name));
    if (!removed && removed.error().code != ErrorCode::NotFound)
        return removed;
    return success();
}

void LogStore::putRecord(std::string &out, Internal::RecordType type, std::string_view payload) const
{
    Internal::putRecord(out, segments_.back().sequence, size_ + out.size(), type, durableBytes_, payload);
}

Result<void> LogStore::checkUsable() const
{
    if (failure_)
        return *failure_;
    return success();
}

Result<void> LogStore::guard(Result<void> result)
{
    if (!result && result.error().code != ErrorCode::Capacity)
        failure_ = result.error();
    return result;
}

std::string LogStore::path(std::string_view name) const
{
    return folder_ + '/' + std::string(name);
}

Error LogStore::damaged(std::string_view name, std::string_view detail) const
{
    return failure(ErrorCode::Corrupt, path(name) + ": " + std::string(detail) + std::string(repairStep));
}

} // namespace Pistachio::Storage
