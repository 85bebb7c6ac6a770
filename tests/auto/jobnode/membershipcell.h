#pragma once

#include "core/time.h"
#include "jobnode/groupmembership.h"
#include "replication/cluster.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Pistachio::Jobnode
{

/// A job group of control instances in virtual time, with the announcements and the membership changes that the control
/// program makes, and a caller that sends commands without pause.
class MembershipCell
{
public:
    using Node = Replication::Cluster::Node;

    explicit MembershipCell(std::uint64_t seed, std::size_t voters = 3);

    void run(Duration duration);
    /// \return whether the condition came true in time.
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    /// Does something later, between two ticks.
    void after(Duration delay, std::function<void()> action);

    /// The instance is gone for good, without a trace.
    void lose(Node &node);

    /// The process of the instance ends; the others see their connections refused.
    void stop(Node &node);

    /// The process is told to end, and the instance is taken away then.
    void retire(Node &node);

    /// An empty instance starts at another address.
    Node &addSpare();

    /// The instance has lost its disk and starts again at its address.
    /// \param node is not running
    Node &restartEmpty(Node &node);

    /// Cuts the instance off from all others, also from later ones.
    void cutOff(Node &node);
    void rejoin(Node &node);

    /// \return whether the group accepts a new command within \p limit.
    bool accepts(Duration limit);

    /// A caller sends commands from now on.
    void startTraffic();
    /// \return the longest time without an accepted command since startTraffic().
    [[nodiscard]] Duration longestOutage() const;

    /// \return one that runs and is not cut off.
    Node &randomNode();

    /// \return whether the leader sends the log to the instance, which has no vote.
    [[nodiscard]] bool isLearner(const Node &node);

    /// \return whether the leader has as many voters as are wanted and all answer.
    [[nodiscard]] bool isWhole();
    /// \return the same, or one voter more, as while a vote is handed over.
    [[nodiscard]] bool hasEnoughVoters();

    /// \return the membership change that a leader has proposed and not yet committed, if any.
    [[nodiscard]] std::optional<Replication::MembershipChange> openChange();

    /// \return the leader's id, its voters with the time since their last answer, and its learners.
    [[nodiscard]] std::string description();

    Replication::Cluster cluster;
    bool hasOldSeeds = false; ///< processes that start get the addresses of the first members

private:
    /// What the control program keeps for one process.
    struct Process {
        GroupMembership membership;
        std::uint64_t incarnation;
        Replication::Term ledTerm = 0;
        TimePoint ledSince{};
        std::optional<Replication::LogIndex> openChange = {};
        Replication::MembershipChange change = {};
    };
    /// A line of the operator's list of control instances.
    struct Listed {
        const Node *node;
        TimePoint since;
        std::optional<TimePoint> until;
    };
    struct Delayed {
        TimePoint at;
        std::function<void()> action;
    };

    void step();
    void runDelayed();
    void sendTraffic();
    void isolateAgain();
    void leaveGroup(Node &node, TimePoint limit);
    [[nodiscard]] bool mayLeave(Node &node);
    void takeOffList(const Node &node);
    [[nodiscard]] std::vector<std::string> seeds() const;
    Process &processOf(const Node &node);
    void changeMembers(Node &node, Process &process);
    void announce(Node &node, Process &process);
    void answerAnnouncement(Node &from, std::uint64_t incarnation, const std::string &ip);
    Node *runningAt(const std::string &ip);
    [[nodiscard]] bool isBlocked(const Node &from, const Node &to) const;

    std::size_t voters_;
    std::vector<Listed> list_;
    std::set<Node *> cutOff_;
    std::map<const Node *, Process> processes_;
    std::vector<Delayed> delayed_;
    std::uint64_t nextInstance_ = 0;
    std::uint64_t nextCommand_ = 0;
    bool hasTraffic_ = false;
    TimePoint nextSend_{};
    TimePoint lastServed_{};
    std::size_t served_ = 0;
    Duration longestOutage_{};
};

} // namespace Pistachio::Jobnode
