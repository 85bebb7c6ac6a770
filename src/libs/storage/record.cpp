#include "storage/record.h"

#include "replication/message.h"
#include "storage/bytes.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Pistachio::Storage::Internal
{

namespace
{

constexpr std::size_t checksumBytes = sizeof(std::uint64_t);
constexpr std::size_t recordHeaderBytes = checksumBytes + 4 + 1 + 8;
constexpr std::string_view segmentMagic = "pistachio-log-1";

std::uint64_t checksum(std::string_view bytes, std::uint64_t sequence, std::uint64_t offset)
{
    // Segments are far smaller than 2^40 bytes, so that no two records share a seed.
    constexpr int offsetBits = 40;
    return XXH64(bytes.data(), bytes.size(), (sequence << offsetBits) | offset);
}

Error unreadable(std::string_view what)
{
    return failure(ErrorCode::Corrupt, "log record of another version: " + std::string(what));
}

} // namespace

void putRecord(std::string &out, std::uint64_t sequence, std::uint64_t offset, RecordType type,
               std::uint64_t durableBytes, std::string_view payload)
{
    std::string body;
    body.reserve(recordHeaderBytes - checksumBytes + payload.size());
    putNumber(body, static_cast<std::uint32_t>(payload.size()));
    putNumber(body, static_cast<std::uint8_t>(type));
    putNumber(body, durableBytes);
    body += payload;
    putNumber(out, checksum(body, sequence, offset));
    out += body;
}

std::optional<Record> readRecord(std::string_view segment, std::uint64_t sequence, std::uint64_t offset,
                                 std::uint64_t minDurableBytes)
{
    if (offset + recordHeaderBytes > segment.size())
        return std::nullopt;
    ByteReader reader(segment.substr(offset));
    const auto expected = reader.number<std::uint64_t>();
    const auto size = reader.number<std::uint32_t>();
    Record record;
    record.type = static_cast<RecordType>(reader.number<std::uint8_t>());
    record.durableBytes = reader.number<std::uint64_t>();
    record.endOffset = offset + recordHeaderBytes + size;
    if (record.endOffset > segment.size() || record.durableBytes < minDurableBytes || record.durableBytes > offset)
        return std::nullopt;
    const std::size_t bodyBytes = recordHeaderBytes - checksumBytes + size;
    if (checksum(segment.substr(offset + checksumBytes, bodyBytes), sequence, offset) != expected)
        return std::nullopt;
    record.payload = segment.substr(offset + recordHeaderBytes, size);
    return record;
}

std::string encodeHeader(const SegmentHeader &header)
{
    std::string out(segmentMagic);
    putNumber(out, header.sequence);
    putNumber(out, header.previousBytes);
    return out;
}

std::string encodeHardState(const Replication::HardState &state)
{
    std::string out;
    putNumber(out, state.term);
    putNumber(out, state.commit);
    putString(out, state.votedFor.value());
    return out;
}

std::string encodeEntry(const Replication::Entry &entry)
{
    std::string out;
    putNumber(out, entry.index);
    putNumber(out, entry.term);
    putNumber(out, static_cast<std::uint8_t>(entry.kind));
    out += entry.payload;
    return out;
}

std::string encodePosition(const LogPosition &position)
{
    std::string out;
    putNumber(out, position.index);
    putNumber(out, position.term);
    return out;
}

Result<SegmentHeader> decodeHeader(std::string_view payload)
{
    if (!payload.starts_with(segmentMagic))
        return unreadable("segment header");
    ByteReader reader(payload.substr(segmentMagic.size()));
    SegmentHeader header;
    header.sequence = reader.number<std::uint64_t>();
    header.previousBytes = reader.number<std::uint64_t>();
    if (!reader.isAtEnd())
        return unreadable("segment header");
    return header;
}

Result<Replication::HardState> decodeHardState(std::string_view payload)
{
    ByteReader reader(payload);
    Replication::HardState state;
    state.term = reader.number<std::uint64_t>();
    state.commit = reader.number<std::uint64_t>();
    state.votedFor = InstanceId(reader.string());
    if (!reader.isAtEnd())
        return unreadable("hard state");
    return state;
}

Result<Replication::Entry> decodeEntry(std::string_view payload)
{
    ByteReader reader(payload);
    Replication::Entry entry;
    entry.index = reader.number<std::uint64_t>();
    entry.term = reader.number<std::uint64_t>();
    entry.kind = static_cast<Replication::EntryKind>(reader.number<std::uint8_t>());
    entry.payload = reader.rest();
    if (!reader.isAtEnd() || entry.kind > Replication::EntryKind::Membership)
        return unreadable("entry");
    if (entry.kind == Replication::EntryKind::Membership) {
        BOOST_OUTCOME_TRYV(Replication::decodeMembership(entry.payload));
    }
    return entry;
}

Result<LogPosition> decodePosition(std::string_view payload)
{
    ByteReader reader(payload);
    LogPosition position;
    position.index = reader.number<std::uint64_t>();
    position.term = reader.number<std::uint64_t>();
    if (!reader.isAtEnd())
        return unreadable("log position");
    return position;
}

} // namespace Pistachio::Storage::Internal
