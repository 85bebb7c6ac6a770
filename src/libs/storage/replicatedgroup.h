#pragma once

#include "core/random.h"
#include "core/result.h"
#include "core/time.h"
#include "replication/message.h"
#include "replication/timing.h"
#include "replication/types.h"
#include "storage/logwriter.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Pistachio::Replication
{
class Replica;
class StateMachine;
struct FailedCampaign;
struct Ready;
} // namespace Pistachio::Replication

namespace Pistachio::Storage
{

class FileSystem;
class LogStore;

/// What an instance knows of a group before it has read its files.
struct GroupOptions {
    GroupId group;
    InstanceId self;
    Replication::Membership initialMembers; ///< counts until the log or a snapshot holds newer members
    std::string folder; ///< the group's own folder below the data directory
    std::uint64_t snapshotAfterEntries = 10'000; ///< applied entries between two snapshots
    std::uint64_t snapshotAfterBytes = 4U << 20; ///< or this much log, or twice the last snapshot if that is more
    std::uint64_t keptEntries = 2'000; ///< entries kept before a snapshot for followers that are a little behind
    bool joins = false; ///< has no initial members: takes part once the leader has made it a member
    Replication::Timing timing = {};
    /// Set: a thread of its own writes, and calls this when flush() has something to finish. Otherwise flush() writes.
    std::function<void()> writeFinished = {};
};

/// The end of a proposal.
struct Completion {
    Replication::LogIndex index = 0;
    Replication::Term term = 0;
    /// The state machine's answer. Unknown: leadership was lost first, the command may or may not be applied.
    Result<std::string> answer;
};

/// One replica of a group with its files and its state machine.
///
/// Used by one thread. After a round of events (tick, receive, propose) the owner sends takeMessages(), calls flush(),
/// which writes, syncs once and applies, and sends takeMessages() and handles takeCompletions() again. Messages taken
/// before flush() let followers write while this replica writes.
class ReplicatedGroup
{
public:
    /// Reads the group's files, or creates them, and restores the state machine.
    /// \param now the time of the start; the replica refuses votes for a while from here
    /// \param options the group and its folder
    /// \param fileSystem holds the files; outlives the group
    /// \param machine the state; outlives the group and is changed only by it
    /// \param random the source of election timeouts
    /// \return Corrupt with the repair step when the files are damaged or belong to another instance.
    static Result<std::unique_ptr<ReplicatedGroup>> open(TimePoint now, GroupOptions options, FileSystem &fileSystem,
                                                         Replication::StateMachine &machine,
                                                         const RandomSource &random);
    ~ReplicatedGroup();
    ReplicatedGroup(const ReplicatedGroup &) = delete;
    ReplicatedGroup &operator=(const ReplicatedGroup &) = delete;

    /// Runs the timers; call it at least every 100 ms.
    void tick(TimePoint now);

    /// \param now the time of arrival
    /// \param message a message of this group
    void receive(TimePoint now, const Replication::Message &message);

    /// \param member whose process has ended, see Replica::memberStopped()
    void memberStopped(TimePoint now, const InstanceId &member);

    /// Proposes a command. Its end comes from takeCompletions() with the same index and term.
    /// \return the index, NotLeader with the leader's id as message, or Unavailable when nothing was proposed.
    Result<Replication::LogIndex> propose(TimePoint now, std::string command);

    /// Proposes a change of the members; it ends like a command, with an empty answer.
    Result<Replication::LogIndex> proposeMembership(TimePoint now, const Replication::MembershipChange &change);

    /// Writes and syncs what the events since the last call need, applies what is committed and takes a snapshot when
    /// one is due.
    void flush(TimePoint now);

    /// \return messages to send now, in order.
    std::vector<Replication::Message> takeMessages();

    /// \return the proposals that ended, in log order.
    std::vector<Completion> takeCompletions();

    [[nodiscard]] bool isLeader() const;

    /// \return whether this replica leads and has applied all that earlier leaders committed.
    [[nodiscard]] bool isLeaderWithState() const;

    /// \return whether no other leader can exist at \p now; a leader renews leases only while this holds.
    [[nodiscard]] bool hasLeaderLease(TimePoint now) const;

    /// \return Replica::leadershipConfirmedAt().
    [[nodiscard]] TimePoint leadershipConfirmedAt(TimePoint now) const;

    [[nodiscard]] Replication::Term term() const;

    /// \return the leader as last heard of, or an empty id.
    [[nodiscard]] InstanceId leaderHint() const;

    [[nodiscard]] Replication::LogIndex appliedIndex() const;
    [[nodiscard]] Replication::LogIndex commitIndex() const;
    [[nodiscard]] const Replication::Membership &membership() const;

    /// \return the last campaign of this replica that found no majority.
    [[nodiscard]] const Replication::FailedCampaign &failedCampaign() const;

    /// \return what this leader knows of the other members; empty when it does not lead.
    [[nodiscard]] std::vector<Replication::MemberStatus> memberStatus(TimePoint now) const;

    /// \return the failure that stopped this replica for good; the state machine stays readable.
    [[nodiscard]] const std::optional<Error> &failure() const;

    /// \return why the last due snapshot was not stored, once; the log keeps what it would have replaced.
    std::optional<Error> takePostponedSnapshot();

    /// \return whether the disk is full: until a later flush() succeeds the replica takes part in nothing, as if
    /// paused, and the state machine stays readable.
    [[nodiscard]] bool isDiskFull() const;

private:
    ReplicatedGroup(GroupOptions options, Replication::StateMachine &machine);
    Result<void> start(TimePoint now, FileSystem &fileSystem, const RandomSource &random);
    Result<Replication::LogIndex> track(Result<Replication::LogIndex> index);
    void fetchReady(TimePoint now);
    Result<void> writeInline(TimePoint now);
    Result<void> writeByThread(TimePoint now);
    Result<void> finishWrites(TimePoint now, const WriteOutcome &outcome);
    Result<void> finishReady(TimePoint now, const Replication::Ready &ready);
    Result<void> restore(const Replication::Snapshot &snapshot);
    void apply(const Replication::Entry &entry);
    void queueSnapshotIfDue();
    void handleError(TimePoint now, const Error &error);
    void endLostProposals();
    [[nodiscard]] bool isStopped() const { return failure_ || retryAt_; }

    GroupOptions options_;
    Replication::StateMachine &machine_;
    std::unique_ptr<LogStore> store_;
    std::unique_ptr<Replication::Replica> replica_;
    LogWrites writes_; ///< taken from the replica, not yet durable
    bool defersApply_ = false; ///< committed entries wait for a snapshot among the writes
    bool isCompacting_ = false;
    std::map<Replication::LogIndex, Replication::Term> proposals_; ///< that have not ended
    std::vector<Replication::Message> outgoing_;
    std::vector<Completion> completions_;
    Replication::LogIndex applied_ = 0;
    std::uint64_t bytesSinceSnapshot_ = 0;
    Replication::LogIndex snapshotIndex_ = 0;
    std::uint64_t snapshotBytes_ = 0;
    std::optional<Error> postponedSnapshot_;
    std::optional<Error> failure_;
    std::optional<TimePoint> retryAt_; ///< set while the disk is full
    std::unique_ptr<LogWriter> writer_; ///< last, since its thread uses the store
};

} // namespace Pistachio::Storage
