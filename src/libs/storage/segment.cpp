#include "storage/segment.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Pistachio::Storage::Internal
{

namespace
{

Result<void> replay(const Record &record, ReplayedSegment &segment, ReplayedLog &log)
{
    switch (record.type) {
    case RecordType::HardState: {
        BOOST_OUTCOME_TRY(log.hardState, decodeHardState(record.payload));
        return success();
    }
    case RecordType::Entry: {
        BOOST_OUTCOME_TRY(auto entry, decodeEntry(record.payload));
        segment.lastIndex = std::max(segment.lastIndex, entry.index);
        return log.take(std::move(entry));
    }
    case RecordType::Reset: {
        BOOST_OUTCOME_TRY(const auto position, decodePosition(record.payload));
        log.resetIndex = position.index;
        log.entries.clear();
        return success();
    }
    case RecordType::Header:
        break;
    }
    return failure(ErrorCode::Corrupt, "unexpected record type");
}

/// \return whether a record after \p damaged was written when the bytes at \p damaged were durable already.
bool wasDurable(std::string_view bytes, std::uint64_t sequence, std::uint64_t damaged)
{
    for (std::uint64_t offset = damaged + 1; offset < bytes.size(); ++offset) {
        if (readRecord(bytes, sequence, offset, damaged + 1))
            return true;
    }
    return false;
}

} // namespace

Result<void> ReplayedLog::take(Replication::Entry entry)
{
    if (!entries.empty() && entry.index > resetIndex && entry.index <= entries.front().index) {
        // Replaces everything held, and begins before it when the segment of the entries between was removed.
        entries.clear();
    } else if (!entries.empty() || resetIndex > 0) {
        const Replication::LogIndex first = entries.empty() ? resetIndex + 1 : entries.front().index;
        const Replication::LogIndex next = first + entries.size();
        if (entry.index > next || entry.index < first)
            return failure(ErrorCode::Corrupt,
                           "entry " + std::to_string(entry.index) + " follows entry " + std::to_string(next - 1));
        entries.resize(entry.index - first);
    }
    entries.push_back(std::move(entry));
    return success();
}

Result<ReplayedSegment> replaySegment(std::string_view bytes, std::uint64_t sequence, bool isLast, ReplayedLog &log)
{
    // Segments appear whole with their header, which therefore can't be torn.
    const auto header = readRecord(bytes, sequence, 0);
    if (!header || header->type != RecordType::Header)
        return failure(ErrorCode::Corrupt, "damaged at byte 0");
    ReplayedSegment segment;
    BOOST_OUTCOME_TRY(segment.header, decodeHeader(header->payload));
    segment.validBytes = header->endOffset;
    while (segment.validBytes < bytes.size()) {
        const auto record = readRecord(bytes, sequence, segment.validBytes);
        if (!record) {
            if (!isLast || wasDurable(bytes, sequence, segment.validBytes))
                return failure(ErrorCode::Corrupt, "damaged at byte " + std::to_string(segment.validBytes));
            return segment;
        }
        BOOST_OUTCOME_TRYV(replay(*record, segment, log));
        segment.validBytes = record->endOffset;
    }
    return segment;
}

} // namespace Pistachio::Storage::Internal
