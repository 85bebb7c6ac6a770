#include "storage/grouphost.h"

#include <utility>

namespace Pistachio::Storage
{

Result<std::unique_ptr<GroupHost>> GroupHost::open(Storage::GroupOptions options, Storage::FileSystem &fileSystem,
                                                   Replication::StateMachine &machine, std::uint64_t seed)
{
    const TimePoint now(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
    BOOST_OUTCOME_TRY(auto group,
                      Storage::ReplicatedGroup::open(now, std::move(options), fileSystem, machine, RandomSource(seed)));
    return std::unique_ptr<GroupHost>(new GroupHost(std::move(group)));
}

GroupHost::GroupHost(std::unique_ptr<Storage::ReplicatedGroup> group)
    : group_(std::move(group))
{
}

void GroupHost::propose(TimePoint now, std::string command, Duration limit, Done done)
{
    track(now, group_->propose(now, std::move(command)), limit, std::move(done));
}

void GroupHost::proposeMembership(TimePoint now, const Replication::MembershipChange &change, Done done)
{
    track(now, group_->proposeMembership(now, change), Duration::zero(), std::move(done));
}

void GroupHost::track(TimePoint now, Result<Replication::LogIndex> index, Duration limit, Done done)
{
    if (!index) {
        done(index.error());
        return;
    }
    lastProposed_ = index.value();
    const auto deadline = limit > Duration::zero() ? now + limit : TimePoint::max();
    pending_[{index.value(), group_->term()}] = {deadline, std::move(done)};
}

void GroupHost::tick(TimePoint now)
{
    group_->tick(now);
    std::vector<Done> late;
    for (auto entry = pending_.begin(); entry != pending_.end();) {
        if (entry->second.deadline > now) {
            ++entry;
            continue;
        }
        late.push_back(std::move(entry->second.done));
        entry = pending_.erase(entry);
    }
    for (const auto &done : late)
        done(failure(ErrorCode::Unknown, "the change was proposed, and its result is not known in time"));
}

bool GroupHost::flush(TimePoint now, const std::function<void(std::vector<Replication::Message>)> &send)
{
    // Followers write while this replica writes.
    send(group_->takeMessages());
    group_->flush(now);
    send(group_->takeMessages());
    return endProposals();
}

bool GroupHost::endProposals()
{
    const auto completions = group_->takeCompletions();
    for (const auto &completion : completions) {
        const auto found = pending_.find({completion.index, completion.term});
        if (found == pending_.end())
            continue;
        const auto done = std::move(found->second.done);
        pending_.erase(found);
        done(completion.answer);
    }
    return !completions.empty();
}

bool GroupHost::canAnswer(TimePoint now) const
{
    return group_->isLeaderWithState() && group_->hasLeaderLease(now);
}

} // namespace Pistachio::Storage
