// The receiving side of Replica: entries and snapshots from the leader.

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
    election_.heardLeader(now, request.from);
    if (request.kind == MessageKind::SnapshotRequest)
        return receiveSnapshot(request);
    receiveAppend(request);
}

void Replica::receiveAppend(const Message &request)
{
    const LogIndex last = request.logIndex + request.entries.size();
    if (last <= commitIndex())
        return answerMatch(request, commitIndex());
    if (request.logIndex < commitIndex()) {
        // What is committed here equals the leader's log, and its terms may be compacted away.
        takeEntries(request, commitIndex() - request.logIndex);
        return answerMatch(request, last);
    }
    const auto term = log_.termAt(request.logIndex);
    if (term == request.logTerm) {
        takeEntries(request, 0);
        return answerMatch(request, last);
    }
    Message reply = message(MessageKind::AppendAnswer, request.from);
    reply.logIndex = request.logIndex;
    reply.hintIndex = log_.lastNotAbove(request.logIndex - 1, request.logTerm);
    reply.hintTerm = log_.termAt(reply.hintIndex).value_or(0);
    answer(request, std::move(reply));
}

void Replica::takeEntries(const Message &request, std::size_t skipped)
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
    handedOut_ = std::min(handedOut_, index - 1);
    persistedIndex_ = std::min(persistedIndex_, index - 1);
    for (Write &write : writes_)
        write.lastIndex = std::min(write.lastIndex, index - 1);
}

void Replica::answerMatch(const Message &request, LogIndex index)
{
    Message reply = message(MessageKind::AppendAnswer, request.from);
    reply.accepted = true;
    reply.logIndex = index;
    answer(request, std::move(reply));
}

void Replica::receiveSnapshot(const Message &request)
{
    if (request.logIndex <= commitIndex()) {
        incoming_.reset();
        return answerMatch(request, commitIndex());
    }
    const bool continues = incoming_ && incoming_->from == request.from && incoming_->index == request.logIndex
        && incoming_->term == request.logTerm;
    if (!continues)
        incoming_.reset();
    if (!continues && request.offset == 0 && !request.membership.voters.empty())
        incoming_ = IncomingSnapshot{request.from, request.logIndex, request.logTerm, request.membership, {}};
    if (incoming_ && incoming_->data.size() == request.offset)
        incoming_->data += request.data;
    if (incoming_ && incoming_->data.size() == request.totalBytes)
        return finishSnapshot(request);
    Message reply = message(MessageKind::SnapshotAnswer, request.from);
    reply.logIndex = request.logIndex;
    reply.offset = incoming_ ? incoming_->data.size() : 0;
    answer(request, std::move(reply));
}

void Replica::finishSnapshot(const Message &request)
{
    const LogIndex index = incoming_->index;
    if (log_.termAt(index) == incoming_->term) {
        advanceCommit(index);
    } else {
        next_.snapshot = std::make_shared<const Snapshot>(
            Snapshot{index, incoming_->term, std::move(incoming_->membership), std::move(incoming_->data)});
        truncateFrom(commitIndex() + 1);
        log_.reset(next_.snapshot);
        handedOut_ = index;
        committedOut_ = index;
        hardState_.commit = index;
        markHardState(true);
    }
    incoming_.reset();
    answerMatch(request, index);
}

} // namespace Pistachio::Replication
