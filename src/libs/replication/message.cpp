#include "replication/message.h"

#include "replication.pb.h"

#include <cstdint>
#include <utility>

namespace Pistachio::Replication
{

namespace
{

void write(const Membership &membership, Wire::ReplicationMembership &out)
{
    for (const InstanceId &voter : membership.voters)
        out.add_voters(voter.value());
    for (const InstanceId &learner : membership.learners)
        out.add_learners(learner.value());
}

Membership read(const Wire::ReplicationMembership &in)
{
    Membership membership;
    for (const std::string &voter : in.voters())
        membership.voters.emplace_back(voter);
    for (const std::string &learner : in.learners())
        membership.learners.emplace_back(learner);
    return membership;
}

void write(const Message &message, Wire::ReplicationMessage &out)
{
    out.set_kind(static_cast<Wire::ReplicationKind>(message.kind));
    out.set_group(message.group.value());
    out.set_from(message.from.value());
    out.set_to(message.to.value());
    out.set_term(message.term);
    out.set_log_index(message.logIndex);
    out.set_log_term(message.logTerm);
    out.set_commit(message.commit);
    out.set_stamp_us(message.stamp);
    out.set_accepted(message.accepted);
    out.set_hint_index(message.hintIndex);
    out.set_hint_term(message.hintTerm);
    for (const Entry &entry : message.entries) {
        Wire::ReplicationEntry &written = *out.add_entries();
        written.set_term(entry.term);
        written.set_kind(static_cast<Wire::ReplicationEntryKind>(entry.kind));
        written.set_payload(entry.payload);
    }
    out.set_offset(message.offset);
    out.set_total_bytes(message.totalBytes);
    out.set_data(message.data);
    if (!message.membership.voters.empty())
        write(message.membership, *out.mutable_membership());
}

/// A replica adopts a higher term at once, so that one near the end of its range would leave none for an election.
constexpr std::uint64_t highestNumber = std::uint64_t{1} << 53;

Result<void> checkNumbers(const Wire::ReplicationMessage &in)
{
    for (const auto number : {in.term(), in.log_index(), in.log_term(), in.commit(), in.hint_index(), in.hint_term()}) {
        if (number > highestNumber)
            return failure(ErrorCode::InvalidArgument,
                           "replication message from " + in.from()
                               + ": number out of range: " + std::to_string(number));
    }
    return success();
}

Result<std::vector<Entry>> readEntries(const Wire::ReplicationMessage &in)
{
    std::vector<Entry> entries;
    entries.reserve(static_cast<std::size_t>(in.entries_size()));
    for (const Wire::ReplicationEntry &read : in.entries()) {
        if (!Wire::ReplicationEntryKind_IsValid(read.kind()))
            return failure(ErrorCode::InvalidArgument, "replication message: unknown kind of log entry");
        const LogIndex index = in.log_index() + entries.size() + 1;
        entries.push_back({index, read.term(), static_cast<EntryKind>(read.kind()), read.payload()});
        if (entries.back().kind == EntryKind::Membership) {
            BOOST_OUTCOME_TRYV(decodeMembership(entries.back().payload));
        }
    }
    return entries;
}

Result<Message> read(const Wire::ReplicationMessage &in)
{
    if (in.kind() == Wire::REPLICATION_KIND_UNSPECIFIED || !Wire::ReplicationKind_IsValid(in.kind()))
        return failure(ErrorCode::InvalidArgument, "replication message: unknown kind");
    BOOST_OUTCOME_TRYV(checkNumbers(in));
    Message message;
    message.kind = static_cast<MessageKind>(in.kind());
    message.group = GroupId(in.group());
    message.from = InstanceId(in.from());
    message.to = InstanceId(in.to());
    message.term = in.term();
    message.logIndex = in.log_index();
    message.logTerm = in.log_term();
    message.commit = in.commit();
    message.stamp = in.stamp_us();
    message.accepted = in.accepted();
    message.hintIndex = in.hint_index();
    message.hintTerm = in.hint_term();
    BOOST_OUTCOME_TRY(message.entries, readEntries(in));
    message.offset = in.offset();
    message.totalBytes = in.total_bytes();
    message.data = in.data();
    message.membership = read(in.membership());
    return message;
}

} // namespace

std::string encode(std::span<const Message> messages)
{
    Wire::ReplicationBatch batch;
    for (const Message &message : messages)
        write(message, *batch.add_messages());
    return batch.SerializeAsString();
}

Result<DecodedBatch> decode(std::string_view bytes)
{
    Wire::ReplicationBatch batch;
    if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return failure(ErrorCode::InvalidArgument, "replication batch: not a protobuf message");
    DecodedBatch decoded;
    decoded.messages.reserve(static_cast<std::size_t>(batch.messages_size()));
    for (const Wire::ReplicationMessage &in : batch.messages()) {
        auto message = read(in);
        if (message)
            decoded.messages.push_back(std::move(message.value()));
        else
            decoded.refused.push_back(message.error());
    }
    return decoded;
}

std::size_t encodedSize(const Message &message)
{
    Wire::ReplicationBatch batch;
    write(message, *batch.add_messages());
    return batch.ByteSizeLong();
}

std::string encodeMembership(const Membership &membership)
{
    Wire::ReplicationMembership out;
    write(membership, out);
    return out.SerializeAsString();
}

Result<Membership> decodeMembership(std::string_view bytes)
{
    Wire::ReplicationMembership in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.voters().empty())
        return failure(ErrorCode::Corrupt, "replicated membership: not a protobuf message, or no voters");
    return read(in);
}

} // namespace Pistachio::Replication
