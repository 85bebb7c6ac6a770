#pragma once

#include "core/result.h"
#include "replication/types.h"
#include "storage/record.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Pistachio::Storage::Internal
{

constexpr std::string_view segmentPrefix = "log-";

/// The log as the records of its segments define it, read in order.
struct ReplayedLog {
    std::optional<Replication::HardState> hardState;
    std::vector<Replication::Entry> entries; ///< contiguous
    Replication::LogIndex resetIndex = 0; ///< the snapshot of the last Reset record, 0: none

    /// \return Corrupt when the entry leaves a gap.
    Result<void> take(Replication::Entry entry);
};

/// What one segment adds.
struct ReplayedSegment {
    SegmentHeader header;
    std::uint64_t validBytes = 0;
    Replication::LogIndex lastIndex = 0; ///< the greatest index in the segment, 0: none
};

/// Reads one segment into \p log.
/// \param bytes the whole file
/// \param sequence the number in the file's name
/// \param isLast whether the end may be torn, because it was being written at the crash
/// \return Corrupt with the offset when a record is damaged that was durable.
Result<ReplayedSegment> replaySegment(std::string_view bytes, std::uint64_t sequence, bool isLast, ReplayedLog &log);

} // namespace Pistachio::Storage::Internal
