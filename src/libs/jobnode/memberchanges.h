#pragma once

#include "core/time.h"
#include "replication/types.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace Pistachio::Jobnode
{

/// Decides how the members of the job group change: an instance that lost its disk or was replaced leaves, its
/// successor joins as a learner, and a learner that holds the log takes the vote of a voter that doesn't answer or
/// leaves.
///
/// A silent voter may be gone for good or cut off with its disk. It leaves only if a learner can vote in its place:
/// before that one votes if it joined after the silence began, as the successor of an instance that is gone, and after
/// it otherwise. If the old voter comes back, it joins as a learner like any other, so there is never a second group:
/// each change is one entry that a majority of the voters commits.
class MemberChanges
{
public:
    /// What the leader knows.
    struct View {
        InstanceId leader; ///< this instance
        TimePoint ledSince; ///< it knows nothing of members from before
        Replication::LogIndex commitIndex = 0;
        const Replication::Membership &members;
        std::span<const Replication::MemberStatus> status; ///< of the other members
    };

    /// \param wantedVoters so many that the tolerated losses leave a majority
    /// \param silenceLimit after which a voter without an answer gives its vote to a learner
    MemberChanges(std::size_t wantedVoters, Duration silenceLimit);

    /// An instance looks for the group.
    void seen(TimePoint now, const InstanceId &instance);

    /// An instance is about to end; a learner that holds the log takes its vote.
    void leaves(const InstanceId &instance);

    /// \return whether the instance has a vote that a learner could take now or soon.
    [[nodiscard]] bool canHandOver(TimePoint now, const InstanceId &instance, const View &view) const;

    /// \return the next change, or nothing.
    [[nodiscard]] std::optional<Replication::MembershipChange> next(TimePoint now, const View &view);

private:
    [[nodiscard]] std::optional<Replication::MembershipChange> choose(TimePoint now, const View &view) const;
    [[nodiscard]] bool isPresent(TimePoint now, const InstanceId &instance) const;
    [[nodiscard]] bool isSuperseded(TimePoint now, const InstanceId &instance) const;
    [[nodiscard]] const InstanceId *supersededMember(TimePoint now, const View &view) const;
    [[nodiscard]] const InstanceId *newInstance(TimePoint now, const View &view) const;
    [[nodiscard]] const Replication::MemberStatus *silentVoter(TimePoint now, const View &view) const;
    [[nodiscard]] bool isSuccessor(TimePoint now, const View &view, const InstanceId &learner,
                                   const Replication::MemberStatus &voter) const;
    [[nodiscard]] const InstanceId *leavingVoter(const View &view) const;
    [[nodiscard]] const InstanceId *caughtUpLearner(const View &view) const;

    std::size_t wantedVoters_;
    Duration silenceLimit_;
    std::map<InstanceId, TimePoint> seen_;
    std::map<InstanceId, TimePoint> joined_; ///< when this leader made them learners
    std::set<InstanceId> leaving_;
};

} // namespace Pistachio::Jobnode
