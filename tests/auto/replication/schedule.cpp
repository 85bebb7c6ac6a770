#include "replication/schedule.h"

#include <algorithm>
#include <array>

namespace Pistachio::Replication
{

namespace
{
constexpr std::array<Duration, 3> linkDelays{1000us, 1500us, 8000us};

/// The longest one exceeds a round trip, so that followers answer before the leader's own write is durable.
constexpr std::array<Duration, 3> syncDurations{1ms, 5ms, 30ms};
} // namespace

Schedule::Schedule(std::uint64_t seed)
    : cluster(seed, seed % 4 == 3 ? 5 : 3, seed % 2, 1)
{
    cluster.network.delay = linkDelays[seed % linkDelays.size()];
    cluster.notifiesOfStops = seed % 5 == 4;
    if (seed % 7 == 6) {
        cluster.timing = Timing::shortTimeouts();
        cluster.tickInterval = 20ms;
        cluster.restartAll();
    }
    cluster.syncDuration = syncDurations[seed / linkDelays.size() % syncDurations.size()];
}

void Schedule::runFaults(Duration duration)
{
    const TimePoint end = cluster.now + duration;
    while (cluster.now < end) {
        if (cluster.random.below(4) == 0)
            injectFault();
        for (std::uint64_t i = cluster.random.below(4); i > 0; --i)
            cluster.propose("c" + std::to_string(++proposals_));
        cluster.run(Duration(static_cast<Duration::rep>(cluster.random.below(400'000))));
    }
}

void Schedule::injectFault()
{
    Network &network = cluster.network;
    RandomSource &random = cluster.random;
    switch (random.below(14)) {
    case 0:
        network.lossPercent = random.below(40);
        network.duplicatePercent = random.below(30);
        network.jitter = Duration(static_cast<Duration::rep>(random.below(30'000)));
        break;
    case 1:
        crashNodes(1);
        break;
    case 2:
        crashNodes(cluster.nodes.size());
        break;
    case 3:
        crashNodes(2);
        break;
    case 4:
        cluster.pause(randomNode(), true);
        break;
    case 5:
        for (auto &node : cluster.nodes)
            cluster.pause(*node, false);
        break;
    case 6:
        if (Cluster::Node *leader = cluster.leader())
            cluster.isolate(*leader);
        break;
    case 7:
        cluster.isolate(randomNode());
        break;
    case 8:
        for (int i = 0; i < 3; ++i) {
            const InstanceId from = randomNode().id;
            network.blockedLinks.emplace(from, randomNode().id); // one way
        }
        break;
    case 9:
    case 10:
        changeMembers();
        break;
    case 11: // the leader's messages no longer reach one node
        if (const Cluster::Node *leader = cluster.leader()) {
            network.blockedLinks.emplace(leader->id, randomNode().id);
            cluster.run(2500ms);
        }
        break;
    case 12:
        if (Cluster::Node *leader = cluster.leader()) {
            cluster.propose("c" + std::to_string(++proposals_));
            cluster.run(Duration(static_cast<Duration::rep>(random.below(20'000))));
            if (leader->group)
                cluster.crash(*leader);
        }
        break;
    default:
        cluster.healAll();
        break;
    }
}

void Schedule::crashNodes(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        Cluster::Node &node = count == cluster.nodes.size() ? cluster.node(i) : randomNode();
        if (!node.group)
            continue;
        cluster.crash(node);
        if (cluster.random.below(3) == 0)
            continue;
        cluster.start(node);
        if (cluster.random.below(3) > 0)
            continue;
        // A second crash shortly after the restart.
        cluster.run(Duration(static_cast<Duration::rep>(cluster.random.below(100'000))));
        if (node.group)
            cluster.crash(node);
    }
}

void Schedule::changeMembers()
{
    Cluster::Node *leader = cluster.leader();
    if (!leader)
        return;
    const InstanceId instance = randomNode().id;
    const Membership &members = leader->group->membership();
    auto kind = MembershipChange::Kind::AddLearner;
    if (std::ranges::binary_search(members.learners, instance))
        kind = MembershipChange::Kind::Promote;
    else if (std::ranges::binary_search(members.voters, instance) && members.voters.size() > 2)
        kind = MembershipChange::Kind::Remove;
    if (leader->group->proposeMembership(cluster.localTime(*leader), {kind, instance}))
        cluster.afterEvent(*leader);
}

void Schedule::healAndCheck()
{
    cluster.healAll();
    if (!cluster.proposeAndWait("last"))
        cluster.checker.report("no change accepted within 10 s after the faults");
    if (!cluster.runUntil([this] { return cluster.isConverged(); }, 10s))
        cluster.checker.report("members differ 10 s after the faults");
    if (const Cluster::Node *leader = cluster.leader())
        cluster.checker.checkAccepted(leader->machine->commands);
}

} // namespace Pistachio::Replication
