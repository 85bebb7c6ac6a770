#pragma once

#include "core/random.h"
#include "core/result.h"
#include "core/time.h"
#include "replication/election.h"
#include "replication/message.h"
#include "replication/progress.h"
#include "replication/replicalog.h"
#include "replication/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Pistachio::Replication
{

/// The state that a replica reads from its files at start.
struct RestoredState {
    HardState hardState;
    SnapshotPointer snapshot; ///< null: none
    std::vector<Entry> entries; ///< may begin before the snapshot
};

/// Output of a replica that its owner must process, in this order: send `messages`, write `snapshot`, `hardState` and
/// `entries`, sync when `mustSync`, call Replica::persisted(), send `messagesAfterPersist`; `committed` may be applied
/// at any time.
struct Ready {
    std::uint64_t token = 0;
    bool mustSync = false; ///< false: at most the commit index changed, which may be lost
    std::optional<HardState> hardState;
    std::vector<Entry> entries; ///< replace the stored entries from the first one's index on
    SnapshotPointer snapshot; ///< received from the leader, replaces the log; null: none
    std::vector<Message> messages;
    std::vector<Message> messagesAfterPersist;
    std::vector<Entry> committed; ///< in log order, without gaps, after `snapshot` if that is set
};

/// One replica of a group, without I/O: its owner writes files, sends messages and provides the time.
class Replica
{
public:
    /// \param now the time of the start
    /// \param self this instance
    /// \param group the group to which the replica and its messages belong
    /// \param initialMembers the members until the log or a snapshot defines others
    /// \param restored what was read from the files
    /// \param random the source of random election timeouts
    /// \param timing the timers of the group
    Replica(TimePoint now, InstanceId self, GroupId group, Membership initialMembers, RestoredState restored,
            const RandomSource &random, const Timing &timing = {});

    /// Runs the timers: elections, heartbeats, retransmissions and the step-down of a leader without a quorum.
    void tick(TimePoint now);

    /// \param now the time of arrival
    /// \param message a message for this replica; others are ignored
    void receive(TimePoint now, const Message &message);

    /// Handles the report that a member's process has ended, because nothing listens at its address. If it was the
    /// leader, the others need not wait for its lease to expire. A leader no longer counts its earlier answers for the
    /// lease, since a network that refuses connections in its place may have cut the leader off.
    void memberStopped(TimePoint now, const InstanceId &member);

    /// \return the index of the new entry, NotLeader with the leader as message, or Unavailable when too many bytes are
    /// uncommitted.
    Result<LogIndex> propose(TimePoint now, std::string payload);

    /// \return the index of the new entry; Unavailable while another change or the start of the term is uncommitted or
    /// the learner to promote lags; InvalidArgument when the current members don't allow the change.
    Result<LogIndex> proposeMembership(TimePoint now, const MembershipChange &change);

    /// \return whether takeReady() has work for the owner.
    [[nodiscard]] bool hasReady() const;

    /// \return the work since the last call.
    Ready takeReady();

    /// \param now the time at which the write was complete
    /// \param token the token of the written Ready; earlier ones are complete too
    void persisted(TimePoint now, std::uint64_t token);

    /// \param index an applied index that is not compacted away
    /// \param data the state machine's state at \p index
    /// \return the snapshot for the store and for compact().
    [[nodiscard]] SnapshotPointer makeSnapshot(LogIndex index, std::string data) const;

    /// Replaces the log up to the snapshot, once the store holds it.
    /// \param snapshot from makeSnapshot()
    /// \param keptEntries the most entries to keep before it, for followers that lag a little
    /// \return the index of the first entry kept.
    LogIndex compact(SnapshotPointer snapshot, std::uint64_t keptEntries);

    [[nodiscard]] bool isLeader() const { return election_.role() == Role::Leader; }

    /// \return whether this replica leads and a majority has answered a message that it sent within
    /// Timing::leaderLease.
    [[nodiscard]] bool hasLeaderLease(TimePoint now) const;

    /// \return the newest time for which a majority acknowledged a message that this leader sent then or later, so that
    /// no other leader had been elected at that time. Unlike hasLeaderLease(), it does not depend on a clock that
    /// runs during a pause.
    [[nodiscard]] TimePoint leadershipConfirmedAt(TimePoint now) const;

    [[nodiscard]] Term term() const { return hardState_.term; }
    [[nodiscard]] const InstanceId &leaderHint() const { return election_.leader(); }
    [[nodiscard]] LogIndex commitIndex() const { return hardState_.commit; }
    [[nodiscard]] LogIndex lastIndex() const { return log_.lastIndex(); }
    [[nodiscard]] const Membership &membership() const { return log_.membership(); }

    [[nodiscard]] const FailedCampaign &failedCampaign() const { return election_.failedCampaign(); }

    /// \return the state of the other members; empty when this replica does not lead.
    [[nodiscard]] std::vector<MemberStatus> memberStatus(TimePoint now) const;

    /// \return the first index of this leader's term; all entries committed by earlier leaders lie before it.
    [[nodiscard]] LogIndex termStart() const { return termStart_; }

private:
    // Terms and elections: replica.cpp
    void becomeFollower(TimePoint now, Term term);
    void startPreVote(TimePoint now);
    void startElection(TimePoint now);
    void becomeLeader(TimePoint now);
    void requestVotes(MessageKind kind, Term term, std::vector<Message> &out);
    void receiveVoteRequest(TimePoint now, const Message &request);
    void receiveVoteAnswer(TimePoint now, const Message &answer);
    void countVote(TimePoint now, const InstanceId &voter);
    [[nodiscard]] bool isVoter() const;
    [[nodiscard]] Message message(MessageKind kind, const InstanceId &to) const;
    void answer(const Message &request, Message reply);
    void queueHardState(bool mustSync);
    void advanceCommit(LogIndex index);

    // Log replication as a follower: follower.cpp
    void receiveFromLeader(TimePoint now, const Message &request);
    void receiveAppend(const Message &request);
    void appendEntries(const Message &request, std::size_t skipped);
    void truncateFrom(LogIndex index);
    void receiveSnapshot(const Message &request);
    void finishSnapshot(const Message &request);
    void acknowledgeUpTo(const Message &request, LogIndex index);

    // Log replication as a leader: leader.cpp
    void checkQuorum(TimePoint now);
    enum class StoppedMembers : std::uint8_t { Include, Exclude };
    /// \return the newest time such that a majority has answered a message that was sent then or later.
    [[nodiscard]] TimePoint quorumStamp(TimePoint now, StoppedMembers stopped = StoppedMembers::Include) const;
    void receiveFromFollower(TimePoint now, const Message &answer);
    void receiveAppendAnswer(TimePoint now, const Message &answer, Progress &progress, bool isNewest);
    void receiveSnapshotAnswer(TimePoint now, const Message &answer, Progress &progress, bool isNewest);
    LogIndex appendAsLeader(TimePoint now, EntryKind kind, std::string payload);
    void updateFollowers(TimePoint now);
    void tickFollowers(TimePoint now);
    void sendHeartbeat(TimePoint now, const InstanceId &to, Progress &progress);
    void sendEntries(TimePoint now, const InstanceId &to, Progress &progress);
    void sendAppend(TimePoint now, const InstanceId &to, Progress &progress, std::vector<Entry> entries);
    void sendChunks(TimePoint now, const InstanceId &to, Progress &progress);
    void sendChunk(TimePoint now, const InstanceId &to, Progress &progress, std::uint64_t bytes);
    void catchUp(TimePoint now, const InstanceId &to, Progress &progress);
    void startSnapshot(TimePoint now, const InstanceId &to, Progress &progress);
    void commitByQuorum(TimePoint now);
    [[nodiscard]] Result<Membership> membershipAfter(TimePoint now, const MembershipChange &change) const;

    struct Write {
        std::uint64_t token;
        LogIndex lastIndex; ///< the last entry in the store once the write is durable
    };

    /// A snapshot whose chunks are being received.
    struct IncomingSnapshot {
        InstanceId from;
        LogIndex index = 0;
        Term term = 0;
        Membership membership;
        std::string data;
    };

    InstanceId self_;
    GroupId group_;
    HardState hardState_;
    ReplicaLog log_;
    const Timing timing_;
    Election election_;
    TimePoint now_; ///< time of the last event; takeReady() stamps its messages with it

    std::map<InstanceId, Progress> followers_; ///< on a leader: all other members
    LogIndex termStart_ = 0;
    TimePoint electedAt_;
    bool hasUnsentEntries_ = false;
    std::optional<IncomingSnapshot> incomingSnapshot_;

    Ready nextReady_; ///< work for the next takeReady()
    std::uint64_t nextToken_ = 1;
    std::deque<Write> pendingWrites_; ///< passed on in a Ready, not yet durable
    LogIndex persistedIndex_ = 0;
    LogIndex readyIndex_ = 0; ///< the last entry passed on in a Ready to be written
    LogIndex readyCommitIndex_ = 0; ///< the last entry passed on in a Ready as committed
    std::optional<std::uint64_t> selfVoteToken_; ///< the vote for itself counts once this write is durable
};

} // namespace Pistachio::Replication
