#pragma once

#include "replication/cluster.h"

namespace Pistachio::Replication
{

/// A random sequence of faults on a cluster under load, determined by a seed.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed);

    /// Injects faults while commands are proposed.
    void runFaults(Duration duration);

    /// Ends all faults and checks that the group elects a leader, accepts a command, converges and has lost nothing.
    void healAndCheck();

    [[nodiscard]] std::string violations() const { return cluster.checker.summary(); }

    Cluster cluster;

private:
    void injectFault();
    void crashNodes(std::size_t count);
    void changeMembers();
    Cluster::Node &randomNode() { return cluster.node(cluster.random.below(cluster.nodes.size())); }

    std::uint64_t proposals_ = 0;
};

} // namespace Pistachio::Replication
