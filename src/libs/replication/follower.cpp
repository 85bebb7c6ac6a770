// Replica as a follower: receives entries and snapshots from the leader.

#include "replication/replica.h"

#include <algorithm>
#include <utility>

namespace Pistachio::Replication
{

void Replica::receiveFromLeader(TimePoint now, const Message &request)
{
    if (request.term < term()) {
        answer(request, message(MessageKind::AppendAnswer, request.from));
        return;
    }
    if (request.term == term() && isLeader())
        return;
    if (request.term > term() || election_.role() != Role::Follower)
        becomeFollower(now, request.term);
    election_.recordLeaderContact(now, request.from);
    if (request.kind == MessageKind::SnapshotRequest)
        return receiveSnapshot(request);
    receiveAppend(request);
}

void Replica::receiveAppend(const Message &request)
{
    const LogIndex last = request.logIndex + request.entries.size();
    if (last <= commitIndex())
        return acknowledgeUpTo(request, commitIndex());
    if (request.logIndex < commitIndex()) {
        // Committed entries match the leader's log and need no comparison; their terms may be compacted away.
        appendEntries(request, commitIndex() - request.logIndex);
        return acknowledgeUpTo(request, last);
    }
    const auto term = log_.termAt(request.logIndex);
    if (term == request.logTerm) {
        appendEntries(request, 0);
        return acknowledgeUpTo(request, last);
    }
    Message reply = message(MessageKind::AppendAnswer, request.from);
    reply.logIndex = request.logIndex;
    reply.hintIndex = log_.lastIndexWithTermUpTo(request.logIndex - 1, request.logTerm);
    reply.hintTerm = log_.termAt(reply.hintIndex).value_or(0);
    answer(request, std::move(reply));
}

void Replica::appendEntries(const Message &request, std::size_t skipped)
{
    for (std::size_t i = skipped; i < request.entries.size(); ++i) {
        const Entry &entry = request.entries[i];
        const auto held = log_.termAt(entry.index);
        if (held == entry.term)
            continue;
        if (held)
            truncateFrom(entry.index);
        log_.append(entry);
    }
    advanceCommit(std::min(request.commit, request.logIndex + request.entries.size()));
}

void Replica::truncateFrom(LogIndex index)
{
    log_.truncateFrom(index);
    readyIndex_ = std::min(readyIndex_, index - 1);
    persistedIndex_ = std::min(persistedIndex_, index - 1);
    for (Write &write : pendingWrites_)
        write.lastIndex = std::min(write.lastIndex, index - 1);
}

void Replica::acknowledgeUpTo(const Message &request, LogIndex index)
{
    Message reply = message(MessageKind::AppendAnswer, request.from);
    reply.accepted = true;
    reply.logIndex = index;
    answer(request, std::move(reply));
}

void Replica::receiveSnapshot(const Message &request)
{
    if (request.logIndex <= commitIndex()) {
        incomingSnapshot_.reset();
        return acknowledgeUpTo(request, commitIndex());
    }
    const bool isContinuation = incomingSnapshot_ && incomingSnapshot_->from == request.from
        && incomingSnapshot_->index == request.logIndex && incomingSnapshot_->term == request.logTerm;
    if (!isContinuation)
        incomingSnapshot_.reset();
    if (!isContinuation && request.offset == 0 && !request.membership.voters.empty())
        incomingSnapshot_ = IncomingSnapshot{request.from, request.logIndex, request.logTerm, request.membership, {}};
    if (incomingSnapshot_ && incomingSnapshot_->data.size() == request.offset)
        incomingSnapshot_->data += request.data;
    if (incomingSnapshot_ && incomingSnapshot_->data.size() == request.totalBytes)
        return finishSnapshot(request);
    Message reply = message(MessageKind::SnapshotAnswer, request.from);
    reply.logIndex = request.logIndex;
    reply.offset = incomingSnapshot_ ? incomingSnapshot_->data.size() : 0;
    answer(request, std::move(reply));
}

void Replica::finishSnapshot(const Message &request)
{
    const LogIndex index = incomingSnapshot_->index;
    if (log_.termAt(index) == incomingSnapshot_->term) {
        advanceCommit(index);
    } else {
        nextReady_.snapshot = std::make_shared<const Snapshot>(Snapshot{index, incomingSnapshot_->term,
                                                                        std::move(incomingSnapshot_->membership),
                                                                        std::move(incomingSnapshot_->data)});
        truncateFrom(commitIndex() + 1);
        log_.reset(nextReady_.snapshot);
        readyIndex_ = index;
        readyCommitIndex_ = index;
        hardState_.commit = index;
        queueHardState(true);
    }
    incomingSnapshot_.reset();
    acknowledgeUpTo(request, index);
}

} // namespace Pistachio::Replication
