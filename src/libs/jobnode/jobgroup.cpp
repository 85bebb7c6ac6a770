#include "jobnode/jobgroup.h"

#include "jobnode/peers.h"
#include "jobs/jobstore.h"
#include "storage/replicatedgroup.h"

#include <set>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{
constexpr Duration messageLimit = 1s; ///< replication repeats what is lost
constexpr int flushesPerRound = 4; ///< a proposal that another one led to does not wait for the next round
constexpr std::uint64_t snapshotAfterEntries = 20'000;
} // namespace

Result<std::unique_ptr<JobGroup>> JobGroup::open(Storage::FileSystem &files, const std::string &dataFolder,
                                                 const InstanceIdentity &identity, Jobs::JobStore &store, Peers &peers,
                                                 std::function<void()> writeFinished)
{
    Storage::GroupOptions options;
    options.group = GroupId("jobs");
    options.self = identity.id;
    options.initialMembers = identity.initialMembers;
    options.timing = Replication::Timing::shortTimeouts();
    options.writeFinished = std::move(writeFinished);
    options.joins = identity.initialMembers.voters.empty();
    options.folder = dataFolder + "/jobs";
    options.snapshotAfterEntries = snapshotAfterEntries;
    BOOST_OUTCOME_TRY(
        auto host,
        Storage::GroupHost::open(std::move(options), files, store, std::hash<std::string>{}(identity.id.value())));
    return std::unique_ptr<JobGroup>(new JobGroup(identity.id, peers, std::move(host)));
}

JobGroup::JobGroup(InstanceId self, Peers &peers, std::unique_ptr<Storage::GroupHost> host)
    : self_(std::move(self))
    , peers_(peers)
    , host_(std::move(host))
{
}

void JobGroup::propose(TimePoint now, std::string command, Done done)
{
    host_->propose(now, std::move(command), Duration::zero(), std::move(done));
}

void JobGroup::proposeMembership(TimePoint now, const Replication::MembershipChange &change, Done done)
{
    host_->proposeMembership(now, change, std::move(done));
}

std::vector<Error> JobGroup::receive(TimePoint now, std::string_view batch)
{
    auto decoded = Replication::decode(batch);
    if (!decoded)
        return {decoded.error()};
    for (const auto &message : decoded.value().messages) {
        if (message.to == self_)
            host_->receive(now, message);
    }
    return std::move(decoded.value().refused);
}

void JobGroup::memberStopped(TimePoint now, std::string_view ip)
{
    const auto members = host_->group().membership();
    for (const auto *list : {&members.voters, &members.learners}) {
        for (const auto &member : *list) {
            if (ipOf(member) == ip)
                host_->group().memberStopped(now, member);
        }
    }
}

void JobGroup::flush(TimePoint now)
{
    const auto sender = [this](std::vector<Replication::Message> messages) { send(std::move(messages)); };
    for (int round = 0; round < flushesPerRound; ++round) {
        if (!host_->flush(now, sender))
            return;
    }
}

void JobGroup::send(std::vector<Replication::Message> messages)
{
    std::set<std::string> receivers;
    for (auto &message : messages) {
        std::string ip(ipOf(message.to));
        queues_[ip].add(std::move(message));
        receivers.insert(std::move(ip));
    }
    for (const auto &ip : receivers)
        sendBatch(ip);
}

void JobGroup::sendBatch(const std::string &ip)
{
    auto batch = queues_[ip].takeBatch();
    if (batch.empty())
        return;
    const auto size = batch.size();
    peers_.call(ip, "/jobs/replication", std::move(batch), messageLimit,
                [this, ip, size](const Transport::CallResult &result) {
                    queues_[ip].finished(size, result.has_value());
                    sendBatch(ip);
                });
}

} // namespace Pistachio::Jobnode
