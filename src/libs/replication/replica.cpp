#include "replication/replica.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Pistachio::Replication
{

namespace
{
/// Limits the leader's memory while no quorum answers; larger than any sheet.
constexpr std::uint64_t maxUncommittedBytes = 16U << 20;
} // namespace

Replica::Replica(TimePoint now, InstanceId self, GroupId group, Membership initialMembers, RestoredState restored,
                 const RandomSource &random, const Timing &timing)
    : self_(std::move(self))
    , group_(std::move(group))
    , hardState_(std::move(restored.hardState))
    , log_(std::move(initialMembers), restored.snapshot, std::move(restored.entries))
    , timing_(timing)
    , election_(now, random, timing)
    , now_(now)
    , persistedIndex_(log_.lastIndex())
    , readyIndex_(log_.lastIndex())
    , readyCommitIndex_(restored.snapshot ? restored.snapshot->index : 0)
{
    hardState_.commit = std::clamp(hardState_.commit, readyCommitIndex_, log_.lastIndex());
}

void Replica::tick(TimePoint now)
{
    now_ = now;
    checkQuorum(now);
    if (isLeader())
        tickFollowers(now);
    else if (election_.isCampaignDue(now))
        startPreVote(now);
}

void Replica::receive(TimePoint now, const Message &message)
{
    if (message.group != group_ || message.to != self_ || message.from == self_)
        return;
    now_ = now;
    checkQuorum(now);
    switch (message.kind) {
    case MessageKind::PreVoteRequest:
    case MessageKind::VoteRequest:
        return receiveVoteRequest(now, message);
    case MessageKind::PreVoteAnswer:
    case MessageKind::VoteAnswer:
        return receiveVoteAnswer(now, message);
    case MessageKind::AppendRequest:
    case MessageKind::SnapshotRequest:
        return receiveFromLeader(now, message);
    case MessageKind::AppendAnswer:
    case MessageKind::SnapshotAnswer:
        return receiveFromFollower(now, message);
    }
}

Result<LogIndex> Replica::propose(TimePoint now, std::string payload)
{
    now_ = now;
    checkQuorum(now);
    if (!isLeader())
        return failure(ErrorCode::NotLeader, leaderHint().value());
    if (log_.bytes(std::max(commitIndex() + 1, log_.firstIndex()), lastIndex()) >= maxUncommittedBytes)
        return failure(ErrorCode::Unavailable,
                       "group " + group_.value() + " has too many bytes of uncommitted entries");
    return appendAsLeader(now, EntryKind::Command, std::move(payload));
}

bool Replica::hasReady() const
{
    return hasUnsentEntries_ || nextReady_.hardState || nextReady_.snapshot || !nextReady_.messages.empty()
        || !nextReady_.messagesAfterPersist.empty() || lastIndex() > readyIndex_ || commitIndex() > readyCommitIndex_;
}

Ready Replica::takeReady()
{
    if (isLeader() && hasUnsentEntries_) {
        for (auto &[follower, progress] : followers_)
            sendEntries(now_, follower, progress);
    }
    hasUnsentEntries_ = false;
    Ready ready = std::exchange(nextReady_, {});
    ready.token = nextToken_++;
    ready.entries = log_.entries(readyIndex_ + 1, lastIndex());
    ready.mustSync = ready.mustSync || !ready.entries.empty();
    ready.committed = log_.entries(readyCommitIndex_ + 1, commitIndex());
    readyIndex_ = lastIndex();
    readyCommitIndex_ = commitIndex();
    pendingWrites_.push_back({ready.token, lastIndex()});
    return ready;
}

void Replica::persisted(TimePoint now, std::uint64_t token)
{
    now_ = now;
    while (!pendingWrites_.empty() && pendingWrites_.front().token <= token) {
        persistedIndex_ = std::max(persistedIndex_, pendingWrites_.front().lastIndex);
        pendingWrites_.pop_front();
    }
    if (selfVoteToken_ && *selfVoteToken_ <= token) {
        selfVoteToken_.reset();
        countVote(now, self_);
    }
    if (isLeader())
        commitByQuorum(now);
}

SnapshotPointer Replica::makeSnapshot(LogIndex index, std::string data) const
{
    return std::make_shared<const Snapshot>(
        Snapshot{index, *log_.termAt(index), log_.membershipAt(index), std::move(data)});
}

LogIndex Replica::compact(SnapshotPointer snapshot, std::uint64_t keptEntries)
{
    log_.compact(std::move(snapshot), keptEntries);
    return log_.firstIndex();
}

bool Replica::hasLeaderLease(TimePoint now) const
{
    return isLeader() && now - quorumStamp(now, StoppedMembers::Exclude) < timing_.leaderLease;
}

TimePoint Replica::leadershipConfirmedAt(TimePoint now) const
{
    return isLeader() ? quorumStamp(now) : TimePoint();
}

void Replica::becomeFollower(TimePoint now, Term term)
{
    if (term > hardState_.term) {
        hardState_.term = term;
        hardState_.votedFor = {};
        queueHardState(true);
    }
    election_.stepDown(now);
    followers_.clear();
    selfVoteToken_.reset();
}

void Replica::startPreVote(TimePoint now)
{
    if (!isVoter())
        return election_.loseLeader(now);
    election_.recordFailedCampaign();
    election_.startRound(now, Role::PreCandidate);
    requestVotes(MessageKind::PreVoteRequest, term() + 1, nextReady_.messages);
    countVote(now, self_);
}

void Replica::startElection(TimePoint now)
{
    ++hardState_.term;
    hardState_.votedFor = self_;
    queueHardState(true);
    election_.startRound(now, Role::Candidate);
    requestVotes(MessageKind::VoteRequest, term(), nextReady_.messagesAfterPersist);
    selfVoteToken_ = nextToken_;
}

void Replica::requestVotes(MessageKind kind, Term term, std::vector<Message> &out)
{
    for (const InstanceId &voter : membership().voters) {
        if (voter == self_)
            continue;
        Message request = message(kind, voter);
        request.term = term;
        request.logIndex = lastIndex();
        request.logTerm = log_.lastTerm();
        out.push_back(std::move(request));
    }
}

void Replica::becomeLeader(TimePoint now)
{
    election_.becomeLeader(self_);
    electedAt_ = now;
    followers_.clear();
    updateFollowers(now);
    termStart_ = appendAsLeader(now, EntryKind::Noop, {});
}

void Replica::receiveVoteRequest(TimePoint now, const Message &request)
{
    if (!election_.mayVote(now))
        return;
    const bool isPreVote = request.kind == MessageKind::PreVoteRequest;
    if (!isPreVote && request.term > term())
        becomeFollower(now, request.term);
    const bool isUpToDate = std::tuple(request.logTerm, request.logIndex) >= std::tuple(log_.lastTerm(), lastIndex());
    const bool canVoteFor = hardState_.votedFor.isEmpty() || hardState_.votedFor == request.from;
    const bool isCurrent = isPreVote ? request.term > term() : request.term == term() && canVoteFor;
    Message reply = message(isPreVote ? MessageKind::PreVoteAnswer : MessageKind::VoteAnswer, request.from);
    reply.accepted = isUpToDate && isCurrent;
    if (reply.accepted && isPreVote) {
        reply.term = request.term;
        // Of two concurrent candidates the one with the smaller ID continues, which avoids a split vote.
        if (election_.role() == Role::PreCandidate && request.from < self_)
            election_.scheduleRetry(now);
    }
    if (reply.accepted && !isPreVote && hardState_.votedFor.isEmpty()) {
        hardState_.votedFor = request.from;
        queueHardState(true);
        election_.restartElectionTimeout(now);
    }
    answer(request, std::move(reply));
}

void Replica::receiveVoteAnswer(TimePoint now, const Message &answer)
{
    const bool isPreVote = answer.kind == MessageKind::PreVoteAnswer;
    if (!answer.accepted) {
        election_.countRefusal(answer.from);
        // A voter with a higher term grants no vote until this replica has adopted that term.
        if (answer.term > term())
            becomeFollower(now, answer.term);
        return;
    }
    const Role role = isPreVote ? Role::PreCandidate : Role::Candidate;
    const Term expected = isPreVote ? term() + 1 : term();
    if (election_.role() == role && answer.term == expected)
        countVote(now, answer.from);
}

void Replica::countVote(TimePoint now, const InstanceId &voter)
{
    election_.countVote(voter);
    if (!election_.hasMajority(membership().voters))
        return;
    if (election_.role() == Role::PreCandidate)
        startElection(now);
    else if (election_.role() == Role::Candidate)
        becomeLeader(now);
}

bool Replica::isVoter() const
{
    return std::ranges::binary_search(membership().voters, self_);
}

Message Replica::message(MessageKind kind, const InstanceId &to) const
{
    Message result;
    result.kind = kind;
    result.group = group_;
    result.from = self_;
    result.to = to;
    result.term = term();
    return result;
}

void Replica::answer(const Message &request, Message reply)
{
    reply.stamp = request.stamp;
    nextReady_.messagesAfterPersist.push_back(std::move(reply));
}

void Replica::queueHardState(bool mustSync)
{
    nextReady_.hardState = hardState_;
    nextReady_.mustSync = nextReady_.mustSync || mustSync;
}

void Replica::advanceCommit(LogIndex index)
{
    if (index <= commitIndex())
        return;
    hardState_.commit = index;
    queueHardState(false);
}

} // namespace Pistachio::Replication
