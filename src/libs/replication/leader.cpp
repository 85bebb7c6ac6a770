// Replica as a leader: log replication, commitment, the leader lease and membership changes.

#include "replication/replica.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Pistachio::Replication
{

namespace
{

/// A learner that lags by at most this many entries may become a voter; it receives the rest in a few round trips.
constexpr LogIndex promotionLagEntries = 100;

/// Earlier than any time of the clock, and far enough from the minimum that differences don't overflow.
constexpr TimePoint neverAnswered(Duration::min() / 2);

bool contains(const std::vector<InstanceId> &sorted, const InstanceId &instance)
{
    return std::ranges::binary_search(sorted, instance);
}

void insert(std::vector<InstanceId> &sorted, const InstanceId &instance)
{
    sorted.insert(std::ranges::lower_bound(sorted, instance), instance);
}

/// \return the highest value that a majority of \p values reaches or exceeds.
template<class T> T quorumValue(std::vector<T> values)
{
    std::ranges::sort(values, std::greater<>());
    return values[values.size() / 2];
}

} // namespace

void Replica::checkQuorum(TimePoint now)
{
    if (isLeader() && now - std::max(quorumStamp(now), electedAt_) >= timing_.leaderStepDown)
        becomeFollower(now, term());
}

void Replica::memberStopped(TimePoint now, const InstanceId &member)
{
    now_ = now;
    const auto follower = followers_.find(member);
    if (isLeader() && follower != followers_.end())
        follower->second.recordStopped();
    else if (!isLeader() && leaderHint() == member)
        election_.recordLeaderStopped(now);
}

TimePoint Replica::quorumStamp(TimePoint now, StoppedMembers stopped) const
{
    std::vector<TimePoint> stamps;
    for (const InstanceId &voter : membership().voters) {
        const auto follower = followers_.find(voter);
        if (voter == self_)
            stamps.push_back(now);
        else if (follower == followers_.end())
            continue;
        else if (stopped == StoppedMembers::Exclude && follower->second.isStopped())
            stamps.push_back(neverAnswered);
        else
            stamps.push_back(follower->second.lastAckedStamp().value_or(neverAnswered));
    }
    return quorumValue(std::move(stamps));
}

LogIndex Replica::appendAsLeader(TimePoint now, EntryKind kind, std::string payload)
{
    log_.append({lastIndex() + 1, term(), kind, std::move(payload)});
    if (kind == EntryKind::Membership)
        updateFollowers(now);
    hasUnsentEntries_ = true;
    return lastIndex();
}

void Replica::updateFollowers(TimePoint now)
{
    const Membership &members = membership();
    std::erase_if(followers_, [&](const auto &follower) {
        return !contains(members.voters, follower.first) && !contains(members.learners, follower.first);
    });
    for (const auto *list : {&members.voters, &members.learners}) {
        for (const InstanceId &member : *list) {
            if (member != self_)
                followers_.try_emplace(member, now, lastIndex() + 1);
        }
    }
}

void Replica::tickFollowers(TimePoint now)
{
    for (auto &[follower, progress] : followers_) {
        const bool isLearner = !contains(membership().voters, follower);
        if (now - progress.lastSent() >= (isLearner ? timing_.learnerHeartbeat : timing_.heartbeat))
            sendHeartbeat(now, follower, progress);
    }
}

void Replica::sendHeartbeat(TimePoint now, const InstanceId &to, Progress &progress)
{
    if (progress.state() == Progress::State::Snapshot) {
        if (progress.isStalled(now))
            progress.restartChunksAt(now, progress.snapshotAcked());
        // An empty chunk asks how much has arrived, also when the in-flight window is full.
        sendChunk(now, to, progress, 0);
        return sendChunks(now, to, progress);
    }
    if (progress.isStalled(now))
        progress.probeFrom(progress.match() + 1);
    sendAppend(now, to, progress, {});
}

void Replica::receiveFromFollower(TimePoint now, const Message &answer)
{
    if (answer.term > term())
        return becomeFollower(now, answer.term);
    const auto follower = followers_.find(answer.from);
    if (!isLeader() || answer.term < term() || follower == followers_.end())
        return;
    Progress &progress = follower->second;
    const bool isNewest = progress.recordAckedStamp(TimePoint(Duration(answer.stamp)));
    if (answer.kind == MessageKind::SnapshotAnswer)
        return receiveSnapshotAnswer(now, answer, progress, isNewest);
    receiveAppendAnswer(now, answer, progress, isNewest);
}

void Replica::receiveAppendAnswer(TimePoint now, const Message &answer, Progress &progress, bool isNewest)
{
    if (answer.accepted) {
        // Only a follower with wrong files can match beyond the leader's log; its answer must not count.
        if (answer.logIndex > lastIndex())
            return;
        progress.recordMatch(now, answer.logIndex);
        const bool isInstalled
            = progress.state() == Progress::State::Snapshot && progress.match() >= progress.snapshot()->index;
        if (progress.state() == Progress::State::Probe || isInstalled)
            catchUp(now, answer.from, progress);
        hasUnsentEntries_ = hasUnsentEntries_ || progress.next() <= lastIndex();
        // Must be last: committing the leader's own removal makes it step down, which frees `progress`.
        return commitByQuorum(now);
    }
    // A refusal of another entry is outdated. A refusal of an acknowledged entry comes from a follower that lost its
    // data; an immediate probe would be refused again without end, so that follower gets only heartbeats.
    const bool isCurrent = progress.state() == Progress::State::Replicate
        || (progress.state() == Progress::State::Probe && answer.logIndex + 1 == progress.next());
    if (!isCurrent)
        return;
    if (answer.logIndex <= progress.match()) {
        if (isNewest)
            progress.recordDataLoss();
        return;
    }
    progress.probeFrom(log_.lastIndexWithTermUpTo(answer.hintIndex, answer.hintTerm) + 1);
    sendAppend(now, answer.from, progress, {});
}

void Replica::receiveSnapshotAnswer(TimePoint now, const Message &answer, Progress &progress, bool isNewest)
{
    if (progress.state() != Progress::State::Snapshot || progress.snapshot()->index != answer.logIndex)
        return;
    if (answer.offset >= progress.snapshotAcked())
        progress.recordAckedChunks(now, answer.offset);
    else if (isNewest)
        progress.restartChunksAt(now, answer.offset); // the follower restarted
    sendChunks(now, answer.from, progress);
}

void Replica::catchUp(TimePoint now, const InstanceId &to, Progress &progress)
{
    const SnapshotPointer &snapshot = log_.snapshot();
    const bool isCompacted = progress.next() < log_.firstIndex();
    const bool isSnapshotSmaller = snapshot && !isCompacted && progress.next() <= snapshot->index
        && snapshot->data.size() < log_.bytes(progress.next(), snapshot->index);
    if (isCompacted || isSnapshotSmaller)
        return startSnapshot(now, to, progress);
    progress.startReplicating(now);
}

void Replica::startSnapshot(TimePoint now, const InstanceId &to, Progress &progress)
{
    progress.startSnapshot(now, log_.snapshot());
    sendChunks(now, to, progress);
}

void Replica::sendEntries(TimePoint now, const InstanceId &to, Progress &progress)
{
    while (progress.canSendEntries() && progress.next() <= lastIndex()) {
        if (progress.next() < log_.firstIndex())
            return startSnapshot(now, to, progress);
        sendAppend(now, to, progress, log_.entriesUpTo(progress.next(), maxMessageBytes));
    }
}

void Replica::sendAppend(TimePoint now, const InstanceId &to, Progress &progress, std::vector<Entry> entries)
{
    const LogIndex previous = progress.next() - 1;
    const auto previousTerm = log_.termAt(previous);
    if (!previousTerm)
        return startSnapshot(now, to, progress);
    const LogIndex last = previous + entries.size();
    progress.recordSentEntries(now, last, entries.empty() ? 0 : log_.bytes(previous + 1, last));
    Message request = message(MessageKind::AppendRequest, to);
    request.logIndex = previous;
    request.logTerm = *previousTerm;
    request.commit = commitIndex();
    request.stamp = now.time_since_epoch().count();
    request.entries = std::move(entries);
    nextReady_.messages.push_back(std::move(request));
}

void Replica::sendChunks(TimePoint now, const InstanceId &to, Progress &progress)
{
    const std::uint64_t total = progress.snapshot()->data.size();
    if (total == 0 && progress.snapshotSent() == 0)
        return sendChunk(now, to, progress, 0);
    while (progress.snapshotSent() < total
           && progress.snapshotSent() - progress.snapshotAcked() < maxSnapshotInFlightBytes)
        sendChunk(now, to, progress, std::min(snapshotChunkBytes, total - progress.snapshotSent()));
}

void Replica::sendChunk(TimePoint now, const InstanceId &to, Progress &progress, std::uint64_t bytes)
{
    const Snapshot &snapshot = *progress.snapshot();
    Message request = message(MessageKind::SnapshotRequest, to);
    request.logIndex = snapshot.index;
    request.logTerm = snapshot.term;
    request.stamp = now.time_since_epoch().count();
    request.offset = bytes == 0 ? progress.snapshotAcked() : progress.snapshotSent();
    request.totalBytes = snapshot.data.size();
    request.data = snapshot.data.substr(request.offset, bytes);
    if (request.offset == 0)
        request.membership = snapshot.membership;
    progress.recordSentChunk(now, request.offset + bytes);
    nextReady_.messages.push_back(std::move(request));
}

std::vector<MemberStatus> Replica::memberStatus(TimePoint now) const
{
    std::vector<MemberStatus> members;
    for (const auto &[instance, progress] : followers_) {
        MemberStatus status{instance, contains(membership().voters, instance), progress.match(), {}, false, false};
        if (progress.lastAckedStamp())
            status.timeSinceAnswer = now - *progress.lastAckedStamp();
        status.isReceivingSnapshot = progress.state() == Progress::State::Snapshot;
        status.hasLostData = progress.hasLostData();
        members.push_back(std::move(status));
    }
    return members;
}

void Replica::commitByQuorum(TimePoint now)
{
    std::vector<LogIndex> matches;
    for (const InstanceId &voter : membership().voters) {
        const auto follower = followers_.find(voter);
        if (voter == self_)
            matches.push_back(persistedIndex_);
        else if (follower != followers_.end())
            matches.push_back(follower->second.match());
    }
    const LogIndex index = quorumValue(std::move(matches));
    // A later leader can replace an entry of an earlier term even if a majority holds it. It is committed together with
    // the first entry of this term (log matching).
    if (index <= commitIndex() || log_.termAt(index) != term())
        return;
    advanceCommit(index);
    if (!isVoter() && log_.membershipIndex() <= index)
        becomeFollower(now, term());
}

Result<LogIndex> Replica::proposeMembership(TimePoint now, const MembershipChange &change)
{
    now_ = now;
    checkQuorum(now);
    if (!isLeader())
        return failure(ErrorCode::NotLeader, leaderHint().value());
    // Two changes at a time, or one before an entry of this term is committed, could allow two disjoint majorities.
    if (log_.membershipIndex() > commitIndex() || termStart_ > commitIndex())
        return failure(ErrorCode::Unavailable, "group " + group_.value() + ": an earlier change is not yet committed");
    BOOST_OUTCOME_TRY(const auto members, membershipAfter(now, change));
    return appendAsLeader(now, EntryKind::Membership, encodeMembership(members));
}

Result<Membership> Replica::membershipAfter(TimePoint now, const MembershipChange &change) const
{
    Membership members = membership();
    const std::string name = "group " + group_.value() + ": instance " + change.instance.value();
    const bool isVoter = contains(members.voters, change.instance);
    const bool isLearner = contains(members.learners, change.instance);
    switch (change.kind) {
    case MembershipChange::Kind::AddLearner:
        if (isVoter || isLearner || change.instance.isEmpty())
            return failure(ErrorCode::InvalidArgument, name + " is already a member or has an empty ID");
        insert(members.learners, change.instance);
        return members;
    case MembershipChange::Kind::Promote: {
        if (!isLearner)
            return failure(ErrorCode::InvalidArgument, name + " is not a learner");
        const Progress &progress = followers_.at(change.instance);
        const bool isAlive = progress.lastAckedStamp() && now - *progress.lastAckedStamp() < timing_.leaderStepDown;
        if (!isAlive || progress.match() + promotionLagEntries < lastIndex())
            return failure(ErrorCode::Unavailable,
                           name + " has not caught up: it holds entry " + std::to_string(progress.match()) + " of "
                               + std::to_string(lastIndex()) + (isAlive ? "" : " and does not answer in time"));
        std::erase(members.learners, change.instance);
        insert(members.voters, change.instance);
        return members;
    }
    case MembershipChange::Kind::Remove:
        if (!isVoter && !isLearner)
            return failure(ErrorCode::InvalidArgument, name + " is not a member");
        if (isVoter && members.voters.size() == 1)
            return failure(ErrorCode::InvalidArgument, name + " is the last voter");
        std::erase(members.voters, change.instance);
        std::erase(members.learners, change.instance);
        return members;
    }
    return failure(ErrorCode::InvalidArgument, name + ": unknown kind of change");
}

} // namespace Pistachio::Replication
