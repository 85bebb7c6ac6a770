#pragma once

#include "core/identifier.h"
#include "core/time.h"
#include "jobnode/memberchanges.h"
#include "replication/types.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Pistachio::Storage
{
class ReplicatedGroup;
}

namespace Pistachio::Jobnode
{

/// How an instance finds the job group and how its leader changes the members, without I/O: its owner sends the
/// announcements and proposes the changes.
class GroupMembership
{
public:
    /// \param self this instance
    /// \param seeds the addresses of some instances
    /// \param wantedVoters so many that the tolerated losses leave a majority
    /// \param catchUpTime after which the platform counts on the successor of a lost instance
    GroupMembership(InstanceId self, std::vector<std::string> seeds, std::size_t wantedVoters, Duration catchUpTime);

    /// \param seeds the addresses of some instances, in place of earlier ones
    void setSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    /// \param now the time
    /// \param group the group after the events up to \p now
    /// \return the addresses that must be told of this instance now.
    std::vector<std::string> announcements(TimePoint now, const Storage::ReplicatedGroup &group);

    /// Handles the answer of an instance that does not lead.
    /// \param leader the leader that it named; empty: none
    void leaderNamed(const InstanceId &leader);

    /// Handles the answer of the leader at \p ip.
    void leaderAnswered(const std::string &ip);

    /// Handles an announcement to \p ip that was not answered.
    void announcementFailed(const std::string &ip);

    /// Handles the announcement of another instance to this leader.
    void seen(TimePoint now, const InstanceId &instance);

    /// This instance is about to end: it announces itself no more.
    void leave();

    /// \return whether this instance votes, as far as it knows; it is not told of its removal.
    [[nodiscard]] bool hasVote(const Storage::ReplicatedGroup &group) const;

    /// Handles that an instance, this one or another, is about to end; this one leads.
    /// \param ledSince when it became the leader
    /// \return whether its vote is handed over, or nobody could take it, so that it may end now.
    bool mayLeave(TimePoint now, TimePoint ledSince, const Storage::ReplicatedGroup &group, const InstanceId &instance);

    /// \param now the time; this instance leads and no other leader can exist
    /// \param ledSince when it became the leader
    /// \param group the group after the events up to \p now
    /// \return the change to propose now, if any. None follows before changeEnded().
    std::optional<Replication::MembershipChange> nextChange(TimePoint now, TimePoint ledSince,
                                                            const Storage::ReplicatedGroup &group);

    /// Handles the end of the proposal of nextChange().
    /// \param isDone whether the change is in force; otherwise it is repeated later
    void changeEnded(bool isDone);

    /// \return the address of the leader, or an empty string when there is none or this instance leads.
    [[nodiscard]] std::string leaderIp(const Storage::ReplicatedGroup &group) const;

private:
    [[nodiscard]] std::vector<std::string> addressesToAsk(const Storage::ReplicatedGroup &group) const;

    InstanceId self_;
    std::vector<std::string> seeds_;
    MemberChanges changes_;
    std::string namedLeader_; ///< by another instance, while this one has heard of none
    std::string lastLeader_; ///< that an announcement went to
    std::string silentLeader_; ///< that did not answer an announcement
    TimePoint nextAnnouncement_{};
    TimePoint nextChange_{};
    bool isChangeOpen_ = false;
    bool isLeaving_ = false;
};

} // namespace Pistachio::Jobnode
