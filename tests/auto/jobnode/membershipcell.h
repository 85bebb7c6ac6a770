#pragma once

#include "core/time.h"
#include "jobnode/groupmembership.h"
#include "replication/cluster.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pistachio::Jobnode
{

/// A job group of three control instances in virtual time, with the announcements and the membership changes that the
/// control program makes.
class MembershipCell
{
public:
    using Node = Replication::Cluster::Node;

    explicit MembershipCell(std::uint64_t seed);

    void run(Duration duration);
    /// \return whether the condition came true in time.
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    /// The instance is gone for good.
    void lose(Node &node);

    /// An empty instance starts at another address.
    Node &addSpare();

    /// The instance loses its disk and starts again at its address.
    Node &wipe(Node &node);

    /// \return whether the group accepts a new command within \p limit.
    bool accepts(Duration limit);

    Replication::Cluster cluster;

private:
    /// What the control program keeps for one process.
    struct Process {
        GroupMembership membership;
        std::uint64_t incarnation;
        Replication::Term ledTerm = 0;
        TimePoint ledSince{};
        std::optional<Replication::LogIndex> openChange = {};
    };
    struct Delayed {
        TimePoint at;
        std::function<void()> action;
    };

    void step();
    Process &processOf(const Node &node);
    void changeMembers(Node &node, Process &process);
    void announce(Node &node, Process &process);
    void answerAnnouncement(Node &from, std::uint64_t incarnation, const std::string &ip);
    Node *runningAt(const std::string &ip);
    [[nodiscard]] bool isBlocked(const Node &from, const Node &to) const;

    std::vector<std::string> seeds_;
    std::map<const Node *, Process> processes_;
    std::vector<Delayed> delayed_;
    std::uint64_t nextInstance_ = 0;
    std::uint64_t nextCommand_ = 0;
};

} // namespace Pistachio::Jobnode
