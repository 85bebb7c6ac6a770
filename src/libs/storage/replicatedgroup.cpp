#include "storage/replicatedgroup.h"

#include "replication/replica.h"
#include "replication/statemachine.h"
#include "storage/logstore.h"
#include "storage/logwriter.h"
#include "storage/openedlog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Pistachio::Storage
{

using namespace Replication;

namespace
{

/// How long a full disk is left alone between two attempts.
constexpr Duration diskFullRetry = 500ms;

void moveAll(std::vector<Message> &from, std::vector<Message> &to)
{
    std::move(from.begin(), from.end(), std::back_inserter(to));
    from.clear();
}

} // namespace

ReplicatedGroup::ReplicatedGroup(GroupOptions options, StateMachine &machine)
    : options_(std::move(options))
    , machine_(machine)
{
    std::ranges::sort(options_.initialMembers.voters);
    std::ranges::sort(options_.initialMembers.learners);
}

ReplicatedGroup::~ReplicatedGroup() = default;

Result<std::unique_ptr<ReplicatedGroup>> ReplicatedGroup::open(TimePoint now, GroupOptions options,
                                                               FileSystem &fileSystem, StateMachine &machine,
                                                               const RandomSource &random)
{
    if (options.initialMembers.voters.empty() && !options.joins)
        return Pistachio::failure(ErrorCode::InvalidArgument, "group " + options.group.value() + " has no voters");
    std::unique_ptr<ReplicatedGroup> group(new ReplicatedGroup(std::move(options), machine));
    BOOST_OUTCOME_TRYV(group->start(now, fileSystem, random));
    return group;
}

Result<void> ReplicatedGroup::start(TimePoint now, FileSystem &fileSystem, const RandomSource &random)
{
    const std::string identity = "group " + options_.group.value() + " instance " + options_.self.value();
    BOOST_OUTCOME_TRY(auto opened, LogStore::open(fileSystem, options_.folder, identity));
    store_ = std::move(opened.store);
    if (opened.state.snapshot) {
        BOOST_OUTCOME_TRYV(restore(*opened.state.snapshot));
    }
    replica_ = std::make_unique<Replica>(now, options_.self, options_.group, options_.initialMembers,
                                         std::move(opened.state), random, options_.timing);
    if (options_.writeFinished)
        writer_ = std::make_unique<LogWriter>(*store_, options_.writeFinished);
    return success();
}

void ReplicatedGroup::tick(TimePoint now)
{
    if (!isStopped())
        replica_->tick(now);
}

void ReplicatedGroup::receive(TimePoint now, const Message &message)
{
    if (!isStopped())
        replica_->receive(now, message);
}

void ReplicatedGroup::memberStopped(TimePoint now, const InstanceId &member)
{
    if (!isStopped())
        replica_->memberStopped(now, member);
}

Result<LogIndex> ReplicatedGroup::propose(TimePoint now, std::string command)
{
    if (isStopped())
        return Pistachio::failure(ErrorCode::Unavailable, failure_ ? failure_->message : "the disk is full");
    return track(replica_->propose(now, std::move(command)));
}

Result<LogIndex> ReplicatedGroup::proposeMembership(TimePoint now, const MembershipChange &change)
{
    if (isStopped())
        return Pistachio::failure(ErrorCode::Unavailable, failure_ ? failure_->message : "the disk is full");
    return track(replica_->proposeMembership(now, change));
}

Result<LogIndex> ReplicatedGroup::track(Result<LogIndex> index)
{
    if (index)
        proposals_[index.value()] = replica_->term();
    return index;
}

void ReplicatedGroup::flush(TimePoint now)
{
    if (failure_ || (retryAt_ && now < *retryAt_))
        return;
    auto result = writer_ ? writeByThread(now) : writeInline(now);
    if (result)
        retryAt_.reset();
    else
        handleError(now, result.error());
    endLostProposals();
}

Result<void> ReplicatedGroup::writeInline(TimePoint now)
{
    fetchReady(now);
    queueSnapshotIfDue();
    while (!writes_.empty()) {
        BOOST_OUTCOME_TRYV(finishWrites(now, LogWriter::write(*store_, writes_)));
        fetchReady(now);
        queueSnapshotIfDue();
    }
    return success();
}

Result<void> ReplicatedGroup::writeByThread(TimePoint now)
{
    if (const auto outcome = writer_->takeOutcome()) {
        BOOST_OUTCOME_TRYV(finishWrites(now, *outcome));
    }
    fetchReady(now);
    queueSnapshotIfDue();
    if (!writer_->isBusy() && !writes_.empty())
        writer_->submit(writes_);
    return success();
}

void ReplicatedGroup::fetchReady(TimePoint now)
{
    if (!writer_ && !writes_.empty())
        return;
    while (replica_->hasReady()) {
        auto write = std::make_shared<LogWrite>();
        write->ready = std::make_unique<Ready>(replica_->takeReady());
        auto &ready = *write->ready;
        moveAll(ready.messages, outgoing_);
        // Without a thread entries are applied after the write, as it fails then; a snapshot comes before its entries.
        defersApply_ = defersApply_ || !writer_ || ready.snapshot;
        if (!defersApply_) {
            for (const Entry &entry : std::exchange(ready.committed, {}))
                apply(entry);
        }
        const bool touchesDisk = ready.hardState || ready.snapshot || !ready.entries.empty();
        if (touchesDisk || !writes_.empty() || defersApply_) {
            writes_.push_back(std::move(write));
            if (!writer_)
                return;
            continue;
        }
        replica_->persisted(now, ready.token);
        moveAll(ready.messagesAfterPersist, outgoing_);
    }
}

Result<void> ReplicatedGroup::finishWrites(TimePoint now, const WriteOutcome &outcome)
{
    const LogWrites done(writes_.begin(), writes_.begin() + static_cast<std::ptrdiff_t>(outcome.written));
    writes_.erase(writes_.begin(), writes_.begin() + static_cast<std::ptrdiff_t>(outcome.written));
    defersApply_ = std::any_of(writes_.begin(), writes_.end(),
                               [](const auto &write) { return write->ready && write->ready->snapshot; });
    for (const auto &write : done) {
        if (write->ready) {
            BOOST_OUTCOME_TRYV(finishReady(now, *write->ready));
        } else {
            replica_->compact(write->compacted, options_.keptEntries);
            isCompacting_ = false;
        }
    }
    if (outcome.postponedSnapshot)
        postponedSnapshot_ = outcome.postponedSnapshot;
    return outcome.result;
}

Result<void> ReplicatedGroup::finishReady(TimePoint now, const Ready &ready)
{
    replica_->persisted(now, ready.token);
    outgoing_.insert(outgoing_.end(), ready.messagesAfterPersist.begin(), ready.messagesAfterPersist.end());
    if (ready.snapshot) {
        BOOST_OUTCOME_TRYV(restore(*ready.snapshot));
    }
    for (const Entry &entry : ready.committed)
        apply(entry);
    return success();
}

Result<void> ReplicatedGroup::restore(const Snapshot &snapshot)
{
    BOOST_OUTCOME_TRYV(machine_.restore(snapshot.data));
    applied_ = snapshot.index;
    snapshotIndex_ = snapshot.index;
    snapshotBytes_ = snapshot.data.size();
    bytesSinceSnapshot_ = 0;
    return success();
}

void ReplicatedGroup::apply(const Entry &entry)
{
    std::string answer;
    if (entry.kind == EntryKind::Command)
        answer = machine_.apply(entry.index, entry.payload);
    applied_ = entry.index;
    bytesSinceSnapshot_ += entry.payload.size();
    const auto proposal = proposals_.find(entry.index);
    if (proposal == proposals_.end() || proposal->second != entry.term)
        return;
    completions_.push_back({entry.index, entry.term, std::move(answer)});
    proposals_.erase(proposal);
}

void ReplicatedGroup::queueSnapshotIfDue()
{
    // Twice the last snapshot's size keeps the cost of snapshots below half of that of the log.
    const std::uint64_t dueBytes = std::max(options_.snapshotAfterBytes, 2 * snapshotBytes_);
    const bool isDue = applied_ - snapshotIndex_ >= options_.snapshotAfterEntries || bytesSinceSnapshot_ >= dueBytes;
    if (!isDue || isCompacting_ || defersApply_ || (!writer_ && !writes_.empty()))
        return;
    auto write = std::make_shared<LogWrite>();
    write->compacted = replica_->makeSnapshot(applied_, machine_.snapshot());
    // The store keeps whole segments, so it may keep a little more than the replica.
    write->firstKept = applied_ > options_.keptEntries ? applied_ - options_.keptEntries : 0;
    snapshotIndex_ = applied_;
    snapshotBytes_ = write->compacted->data.size();
    bytesSinceSnapshot_ = 0;
    isCompacting_ = true;
    writes_.push_back(std::move(write));
}

void ReplicatedGroup::handleError(TimePoint now, const Error &error)
{
    if (error.code == ErrorCode::Capacity)
        retryAt_ = now + diskFullRetry;
    else
        failure_ = error;
}

void ReplicatedGroup::endLostProposals()
{
    const bool isLost = isStopped() || !replica_->isLeader();
    for (auto proposal = proposals_.begin(); proposal != proposals_.end();) {
        if (!isLost && proposal->second == replica_->term()) {
            ++proposal;
            continue;
        }
        auto answer = Pistachio::failure(ErrorCode::Unknown, "leadership of " + options_.group.value() + " was lost");
        completions_.push_back({proposal->first, proposal->second, std::move(answer)});
        proposal = proposals_.erase(proposal);
    }
}

std::vector<Message> ReplicatedGroup::takeMessages()
{
    // Followers write while this replica writes.
    if (!isStopped() && !writer_)
        fetchReady({});
    return std::exchange(outgoing_, {});
}

std::vector<Completion> ReplicatedGroup::takeCompletions()
{
    return std::exchange(completions_, {});
}

bool ReplicatedGroup::isLeader() const
{
    return !isStopped() && replica_->isLeader();
}

bool ReplicatedGroup::isLeaderWithState() const
{
    return isLeader() && applied_ >= replica_->termStart();
}

bool ReplicatedGroup::hasLeaderLease(TimePoint now) const
{
    return !isStopped() && replica_->hasLeaderLease(now);
}

TimePoint ReplicatedGroup::leadershipConfirmedAt(TimePoint now) const
{
    return replica_->leadershipConfirmedAt(now);
}

Term ReplicatedGroup::term() const
{
    return replica_->term();
}

InstanceId ReplicatedGroup::leaderHint() const
{
    return replica_->leaderHint();
}

LogIndex ReplicatedGroup::appliedIndex() const
{
    return applied_;
}

LogIndex ReplicatedGroup::commitIndex() const
{
    return replica_->commitIndex();
}

const Membership &ReplicatedGroup::membership() const
{
    return replica_->membership();
}

const Replication::FailedCampaign &ReplicatedGroup::failedCampaign() const
{
    return replica_->failedCampaign();
}

std::vector<MemberStatus> ReplicatedGroup::memberStatus(TimePoint now) const
{
    return isLeader() ? replica_->memberStatus(now) : std::vector<MemberStatus>();
}

const std::optional<Error> &ReplicatedGroup::failure() const
{
    return failure_;
}

std::optional<Error> ReplicatedGroup::takePostponedSnapshot()
{
    return std::exchange(postponedSnapshot_, std::nullopt);
}

bool ReplicatedGroup::isDiskFull() const
{
    return retryAt_.has_value();
}

} // namespace Pistachio::Storage
