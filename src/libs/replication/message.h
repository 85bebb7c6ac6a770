#pragma once

#include "core/result.h"
#include "replication/types.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Replication
{

enum class MessageKind : std::uint8_t {
    PreVoteRequest = 1,
    PreVoteAnswer = 2,
    VoteRequest = 3,
    VoteAnswer = 4,
    AppendRequest = 5, ///< also the heartbeat
    AppendAnswer = 6,
    SnapshotRequest = 7, ///< one chunk of a snapshot
    SnapshotAnswer = 8,
};

/// A message between two replicas of a group. Which fields are used depends on the kind.
struct Message {
    MessageKind kind = MessageKind::AppendRequest;
    GroupId group;
    InstanceId from;
    InstanceId to;
    Term term = 0;
    LogIndex logIndex = 0; ///< votes: last entry; append: the entry before `entries`; answers: last match
    Term logTerm = 0; ///< term of the entry at `logIndex`
    LogIndex commit = 0;
    std::int64_t stamp = 0; ///< the leader's clock when it sent the request, in us; answers repeat it
    bool accepted = false;
    LogIndex hintIndex = 0; ///< rejected append: the last entry at which the logs may match
    Term hintTerm = 0;
    std::vector<Entry> entries;
    std::uint64_t offset = 0; ///< snapshot: position of the chunk; answer: bytes received
    std::uint64_t totalBytes = 0; ///< snapshot: size of the whole data
    std::string data; ///< snapshot: the chunk
    Membership membership; ///< snapshot: set in the first chunk

    bool operator==(const Message &) const = default;
};

/// \param messages messages to one instance, of one or more groups
/// \return the serialised `Wire::ReplicationBatch`, the body of `POST /replication`.
std::string encode(std::span<const Message> messages);

/// What could be read of a batch. A refused message counts like a lost one, which replicas bear; within a message
/// nothing is left out, since the entries of a log follow each other.
struct DecodedBatch {
    std::vector<Message> messages;
    std::vector<Error>
        refused; ///< InvalidArgument: an unknown kind or a number out of range; Corrupt: a Membership entry
};

/// \param bytes a serialised `Wire::ReplicationBatch`
/// \return its messages; InvalidArgument when the bytes are no batch.
Result<DecodedBatch> decode(std::string_view bytes);

/// \param message the message to measure
/// \return its size in a batch, in bytes.
std::size_t encodedSize(const Message &message);

/// \param membership the members to store in a log entry or a snapshot
/// \return the serialised `Wire::ReplicationMembership`.
std::string encodeMembership(const Membership &membership);

/// \param bytes the payload of a Membership entry
/// \return the members, or Corrupt.
Result<Membership> decodeMembership(std::string_view bytes);

} // namespace Pistachio::Replication
