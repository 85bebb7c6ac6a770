#include "membershipcell.h"

#include "jobnode/instanceid.h"

#include <algorithm>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{

constexpr std::size_t voters = 3;
constexpr Duration tick = 20ms;
constexpr Duration linkDelay = 8ms; ///< between regions
constexpr Duration diskSync = 4ms;
constexpr Duration catchUpTime = 4s;
constexpr Duration answerLimit = 900ms; ///< then an announcement has failed

} // namespace

MembershipCell::MembershipCell(std::uint64_t seed)
    : cluster(seed, voters)
    , nextInstance_(voters)
{
    cluster.timing = Replication::Timing::shortTimeouts();
    cluster.tickInterval = tick;
    cluster.syncDuration = diskSync;
    cluster.network.delay = linkDelay;
    cluster.restartAll();
    for (const auto &node : cluster.nodes)
        seeds_.push_back(node->id.value());
}

void MembershipCell::run(Duration duration)
{
    runUntil([] { return false; }, duration);
}

bool MembershipCell::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const auto end = cluster.now + limit;
    while (!condition()) {
        if (cluster.now >= end)
            return false;
        step();
    }
    return true;
}

void MembershipCell::lose(Node &node)
{
    cluster.crash(node);
    node.isGone = true;
}

MembershipCell::Node &MembershipCell::addSpare()
{
    return cluster.addEmpty(InstanceId("control-" + std::to_string(++nextInstance_)));
}

MembershipCell::Node &MembershipCell::wipe(Node &node)
{
    lose(node);
    return cluster.addEmpty(InstanceId(std::string(ipOf(node.id)) + '~' + std::to_string(++nextInstance_)));
}

bool MembershipCell::accepts(Duration limit)
{
    const auto command = "command-" + std::to_string(++nextCommand_);
    return runUntil(
        [&] {
            cluster.propose(command);
            return cluster.acceptedCommands.contains(command);
        },
        limit);
}

void MembershipCell::step()
{
    cluster.run(tick);
    // Actions may add others.
    const auto due = std::stable_partition(delayed_.begin(), delayed_.end(),
                                           [this](const Delayed &item) { return item.at > cluster.now; });
    std::vector<Delayed> ready(std::make_move_iterator(due), std::make_move_iterator(delayed_.end()));
    delayed_.erase(due, delayed_.end());
    for (const auto &item : ready)
        item.action();
    for (const auto &node : cluster.nodes) {
        if (!node->group || node->isPaused)
            continue;
        auto &process = processOf(*node);
        changeMembers(*node, process);
        announce(*node, process);
    }
}

MembershipCell::Process &MembershipCell::processOf(const Node &node)
{
    const auto found = processes_.find(&node);
    if (found != processes_.end() && found->second.incarnation == node.incarnation)
        return found->second;
    Process process{GroupMembership(node.id, seeds_, voters, catchUpTime), node.incarnation};
    return processes_.insert_or_assign(&node, std::move(process)).first->second;
}

void MembershipCell::changeMembers(Node &node, Process &process)
{
    const auto now = cluster.localTime(node);
    auto &group = *node.group;
    if (group.isLeaderWithState() && group.term() != process.ledTerm) {
        process.ledTerm = group.term();
        process.ledSince = now;
    }
    if (process.openChange && (!group.isLeader() || group.commitIndex() >= *process.openChange)) {
        process.openChange.reset();
        process.membership.changeEnded(group.isLeader());
    }
    if (!group.isLeaderWithState() || !group.hasLeaderLease(now))
        return;
    const auto change = process.membership.nextChange(now, process.ledSince, group);
    if (!change)
        return;
    const auto index = group.proposeMembership(now, *change);
    if (index)
        process.openChange = index.value();
    else
        process.membership.changeEnded(false);
    cluster.afterEvent(node);
}

void MembershipCell::announce(Node &node, Process &process)
{
    for (const auto &ip : process.membership.announcements(cluster.localTime(node), *node.group)) {
        delayed_.push_back({cluster.now + linkDelay, [this, &node, ip, incarnation = node.incarnation] {
                                answerAnnouncement(node, incarnation, ip);
                            }});
    }
}

void MembershipCell::answerAnnouncement(Node &from, std::uint64_t incarnation, const std::string &ip)
{
    const auto respond = [&](Duration delay, std::function<void(GroupMembership &)> handle) {
        delayed_.push_back({cluster.now + delay, [this, &from, incarnation, handle = std::move(handle)] {
                                if (from.group && from.incarnation == incarnation)
                                    handle(processOf(from).membership);
                            }});
    };
    Node *to = runningAt(ip);
    if (!to || to->isPaused || isBlocked(from, *to) || isBlocked(*to, from)) {
        respond(answerLimit, [ip](GroupMembership &membership) { membership.announcementFailed(ip); });
        return;
    }
    const auto now = cluster.localTime(*to);
    if (to->group->isLeaderWithState() && to->group->hasLeaderLease(now)) {
        processOf(*to).membership.seen(now, from.id);
        respond(linkDelay, [ip](GroupMembership &membership) { membership.leaderAnswered(ip); });
        return;
    }
    respond(linkDelay,
            [leader = to->group->leaderHint()](GroupMembership &membership) { membership.leaderNamed(leader); });
}

MembershipCell::Node *MembershipCell::runningAt(const std::string &ip)
{
    const auto found = std::find_if(cluster.nodes.begin(), cluster.nodes.end(),
                                    [&ip](const auto &node) { return node->group && ipOf(node->id) == ip; });
    return found == cluster.nodes.end() ? nullptr : found->get();
}

bool MembershipCell::isBlocked(const Node &from, const Node &to) const
{
    return cluster.network.blockedLinks.contains({from.id, to.id});
}

} // namespace Pistachio::Jobnode
