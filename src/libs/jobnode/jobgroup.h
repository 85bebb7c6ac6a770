#pragma once

#include "core/result.h"
#include "core/time.h"
#include "jobnode/instanceid.h"
#include "jobnode/messagequeue.h"
#include "replication/message.h"
#include "storage/grouphost.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Jobs
{
class JobStore;
}

namespace Pistachio::Storage
{
class FileSystem;
}

namespace Pistachio::Jobnode
{

class Peers;

/// This instance's replica of the job group, with its files and its messages to the other members.
class JobGroup
{
public:
    using Done = Storage::GroupHost::Done;

    /// \param files outlives the group
    /// \param store the state; outlives the group
    /// \param peers carries messages; outlives the group
    /// \param writeFinished called on another thread when flush() has something to finish
    static Result<std::unique_ptr<JobGroup>> open(Storage::FileSystem &files, const std::string &dataFolder,
                                                  const InstanceIdentity &identity, Jobs::JobStore &store, Peers &peers,
                                                  std::function<void()> writeFinished);

    void propose(TimePoint now, std::string command, Done done);
    void proposeMembership(TimePoint now, const Replication::MembershipChange &change, Done done);

    /// \param batch encoded messages of another member
    /// \return why messages were left out; the others count.
    std::vector<Error> receive(TimePoint now, std::string_view batch);
    void tick(TimePoint now) { host_->tick(now); }

    /// \param ip the address of members whose processes have ended
    void memberStopped(TimePoint now, std::string_view ip);

    /// Writes, sends and applies what has come up.
    void flush(TimePoint now);

    /// \return whether this instance leads, has applied all earlier entries, and no other leader can exist.
    [[nodiscard]] bool canAnswer(TimePoint now) const { return host_->canAnswer(now); }
    [[nodiscard]] bool isLeaderWithState() const { return host_->group().isLeaderWithState(); }
    [[nodiscard]] const Storage::ReplicatedGroup &replica() const { return host_->group(); }
    /// \return ReplicatedGroup::takePostponedSnapshot().
    std::optional<Error> takePostponedSnapshot() { return host_->group().takePostponedSnapshot(); }
    [[nodiscard]] const InstanceId &self() const { return self_; }

private:
    JobGroup(InstanceId self, Peers &peers, std::unique_ptr<Storage::GroupHost> host);
    void send(std::vector<Replication::Message> messages);
    void sendBatch(const std::string &ip);

    InstanceId self_;
    Peers &peers_;
    std::map<std::string, MessageQueue> queues_; ///< by the address of the member
    std::unique_ptr<Storage::GroupHost> host_;
};

} // namespace Pistachio::Jobnode
