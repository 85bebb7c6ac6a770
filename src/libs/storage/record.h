#pragma once

#include "core/result.h"
#include "replication/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Pistachio::Storage::Internal
{

enum class RecordType : std::uint8_t {
    Header = 1, ///< first record of each segment
    HardState = 2,
    Entry = 3, ///< replaces the entries from its index on
    Reset = 4, ///< the log continues after a snapshot received from the leader
};

/// One record of a segment as it lies in the file.
///
/// Layout: checksum (8 bytes), payload size (4), type (1), durable size (8), payload. The checksum covers the rest and
/// is seeded with the segment and the offset, so that a record counts only where it was written.
struct Record {
    RecordType type = RecordType::Header;
    /// How much of the segment was synced when this record was written. Damage before that point can't be the torn end
    /// of an unfinished write.
    std::uint64_t durableBytes = 0;
    std::string_view payload;
    std::uint64_t endOffset = 0;
};

/// What a segment's first record holds.
struct SegmentHeader {
    std::uint64_t sequence = 0;
    std::uint64_t previousBytes = 0; ///< final size of the segment before, 0 for the first
};

/// A log position without its payload.
struct LogPosition {
    Replication::LogIndex index = 0;
    Replication::Term term = 0;
};

/// \param out the bytes to append the record to
/// \param sequence the segment's number
/// \param offset the record's position in the segment
void putRecord(std::string &out, std::uint64_t sequence, std::uint64_t offset, RecordType type,
               std::uint64_t durableBytes, std::string_view payload);

/// \param segment the whole segment
/// \param sequence the segment's number
/// \param offset where a record may begin
/// \param minDurableBytes records that claim less are not looked at
/// \return the record, or nothing when no intact one begins there.
std::optional<Record> readRecord(std::string_view segment, std::uint64_t sequence, std::uint64_t offset,
                                 std::uint64_t minDurableBytes = 0);

std::string encodeHeader(const SegmentHeader &header);
std::string encodeHardState(const Replication::HardState &state);
std::string encodeEntry(const Replication::Entry &entry);
std::string encodePosition(const LogPosition &position);

// The payload passed its checksum, so a failure to decode comes from another version of the program.
Result<SegmentHeader> decodeHeader(std::string_view payload);
Result<Replication::HardState> decodeHardState(std::string_view payload);
Result<Replication::Entry> decodeEntry(std::string_view payload);
Result<LogPosition> decodePosition(std::string_view payload);

} // namespace Pistachio::Storage::Internal
