#pragma once

#include "core/identifier.h"
#include "core/result.h"
#include "core/time.h"
#include "storage/replicatedgroup.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Pistachio::Storage
{

/// A replicated group with the proposals that wait for their end.
class GroupHost
{
public:
    /// Gets the state machine's answer; NotLeader or Unavailable when nothing was proposed; Unknown when the proposal
    /// may or may not take effect.
    using Done = std::function<void(Result<std::string>)>;

    /// \param options the group
    /// \param fileSystem holds its files; outlives the host
    /// \param machine its state; outlives the host
    /// \param seed of election timeouts
    static Result<std::unique_ptr<GroupHost>> open(Storage::GroupOptions options, Storage::FileSystem &fileSystem,
                                                   Replication::StateMachine &machine, std::uint64_t seed);

    /// \param command the bytes for the state machine
    /// \param limit after which \p done gets Unknown; zero waits until the proposal ends
    /// \param done called once, possibly before this function returns
    void propose(TimePoint now, std::string command, Duration limit, Done done);

    /// \param change the change of the members
    /// \param done as with propose()
    void proposeMembership(TimePoint now, const Replication::MembershipChange &change, Done done);

    void receive(TimePoint now, const Replication::Message &message) { group_->receive(now, message); }
    void tick(TimePoint now);

    /// Writes, applies, and ends proposals.
    /// \param send gets the messages to other replicas, before and after the write
    /// \return whether a proposal ended, which may have led to new ones.
    bool flush(TimePoint now, const std::function<void(std::vector<Replication::Message>)> &send);

    [[nodiscard]] Storage::ReplicatedGroup &group() { return *group_; }

    /// \return the last log index that this instance has proposed since its start.
    [[nodiscard]] Replication::LogIndex lastProposed() const { return lastProposed_; }

    [[nodiscard]] const Storage::ReplicatedGroup &group() const { return *group_; }

    /// \return whether this instance leads, has the state of earlier leaders, and no other leader can exist.
    [[nodiscard]] bool canAnswer(TimePoint now) const;

private:
    using Key = std::pair<Replication::LogIndex, Replication::Term>;
    struct Pending {
        TimePoint deadline;
        Done done;
    };

    explicit GroupHost(std::unique_ptr<Storage::ReplicatedGroup> group);
    void track(TimePoint now, Result<Replication::LogIndex> index, Duration limit, Done done);
    bool endProposals();

    std::unique_ptr<Storage::ReplicatedGroup> group_;
    std::map<Key, Pending> pending_;
    Replication::LogIndex lastProposed_ = 0;
};

} // namespace Pistachio::Storage
