#include "storage/snapshotfile.h"

#include "replication/message.h"
#include "storage/bytes.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <memory>

namespace Pistachio::Storage::Internal
{

namespace
{
constexpr std::string_view snapshotMagic = "pistachio-snapshot-1";
} // namespace

std::string encodeSnapshot(const Replication::Snapshot &snapshot)
{
    std::string body(snapshotMagic);
    putNumber(body, snapshot.index);
    putNumber(body, snapshot.term);
    putString(body, Replication::encodeMembership(snapshot.membership));
    body += snapshot.data;
    std::string out;
    putNumber(out, std::uint64_t{XXH64(body.data(), body.size(), 0)});
    return out + body;
}

Result<Replication::SnapshotPointer> decodeSnapshot(std::string_view bytes)
{
    ByteReader reader(bytes);
    const auto expected = reader.number<std::uint64_t>();
    const std::string_view body = reader.rest();
    if (!body.starts_with(snapshotMagic) || XXH64(body.data(), body.size(), 0) != expected)
        return failure(ErrorCode::Corrupt, "the checksum does not match");
    ByteReader fields(body.substr(snapshotMagic.size()));
    Replication::Snapshot snapshot;
    snapshot.index = fields.number<std::uint64_t>();
    snapshot.term = fields.number<std::uint64_t>();
    BOOST_OUTCOME_TRY(snapshot.membership, Replication::decodeMembership(fields.string()));
    snapshot.data = fields.rest();
    return std::make_shared<const Replication::Snapshot>(std::move(snapshot));
}

} // namespace Pistachio::Storage::Internal
