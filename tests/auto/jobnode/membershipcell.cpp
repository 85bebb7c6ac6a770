#include "membershipcell.h"

#include "jobnode/instanceid.h"

#include <algorithm>
#include <utility>

namespace Pistachio::Jobnode
{

namespace
{

constexpr Duration tick = 20ms;
constexpr Duration linkDelay = 8ms; ///< between regions
constexpr Duration diskSync = 4ms;
constexpr Duration catchUpTime = 4s;
constexpr Duration announceLimit = 900ms; ///< then an announcement has failed
constexpr Duration answerLimit = 600ms; ///< ten heartbeats
constexpr Duration sendInterval = 100ms; ///< of the caller
constexpr Duration seedLag = 3s; ///< the platform's seedLagS
constexpr std::size_t seedCount = 3;
constexpr const char *addressPrefix = "10.0.0.";
constexpr Duration leaveInterval = 40ms; ///< between two questions whether an instance may end
constexpr Duration leaveLimit = 2s; ///< then it ends with its vote

} // namespace

MembershipCell::MembershipCell(std::uint64_t seed, std::size_t voters)
    : cluster(seed, voters, 0, 0, addressPrefix)
    , voters_(voters)
    , nextInstance_(voters)
{
    cluster.timing = Replication::Timing::shortTimeouts();
    cluster.tickInterval = tick;
    cluster.syncDuration = diskSync;
    cluster.network.delay = linkDelay;
    cluster.restartAll();
    for (const auto &node : cluster.nodes)
        list_.push_back({node.get(), TimePoint(), {}});
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

void MembershipCell::after(Duration delay, std::function<void()> action)
{
    delayed_.push_back({cluster.now + delay, std::move(action)});
}

void MembershipCell::lose(Node &node)
{
    cluster.crash(node);
    node.isGone = true;
    takeOffList(node);
}

void MembershipCell::stop(Node &node)
{
    cluster.notifiesOfStops = true;
    cluster.crash(node);
    cluster.notifiesOfStops = false;
}

void MembershipCell::retire(Node &node)
{
    if (node.group)
        processOf(node).membership.leave();
    leaveGroup(node, cluster.now + leaveLimit);
}

void MembershipCell::leaveGroup(Node &node, TimePoint limit)
{
    if (node.group && cluster.now < limit && !mayLeave(node)) {
        after(leaveInterval, [this, &node, limit] { leaveGroup(node, limit); });
        return;
    }
    stop(node);
    node.isGone = true;
    takeOffList(node);
}

/// Asks the leader without delay.
bool MembershipCell::mayLeave(Node &node)
{
    if (node.isPaused)
        return false;
    if (!processOf(node).membership.hasVote(*node.group))
        return true;
    auto *leader = node.group->isLeader() ? &node : runningAt(std::string(ipOf(node.group->leaderHint())));
    if (!leader)
        return false;
    if (leader->isPaused || isBlocked(node, *leader) || isBlocked(*leader, node))
        return false;
    const auto now = cluster.localTime(*leader);
    if (!leader->group->isLeaderWithState() || !leader->group->hasLeaderLease(now))
        return false;
    auto &process = processOf(*leader);
    return process.membership.mayLeave(now, process.ledSince, *leader->group, node.id);
}

MembershipCell::Node &MembershipCell::addSpare()
{
    auto &node = cluster.addEmpty(InstanceId(addressPrefix + std::to_string(++nextInstance_)));
    list_.push_back({&node, cluster.now, {}});
    isolateAgain();
    return node;
}

MembershipCell::Node &MembershipCell::restartEmpty(Node &node)
{
    node.isGone = true;
    auto &next = cluster.addEmpty(InstanceId(std::string(ipOf(node.id)) + '~' + std::to_string(++nextInstance_)));
    // The list holds addresses, and this one stays.
    for (auto &item : list_) {
        if (item.node == &node)
            item.node = &next;
    }
    isolateAgain();
    return next;
}

void MembershipCell::isolateAgain()
{
    for (const auto *node : cutOff_)
        cluster.isolate(*node);
}

void MembershipCell::takeOffList(const Node &node)
{
    for (auto &item : list_) {
        if (item.node == &node && !item.until)
            item.until = cluster.now;
    }
}

void MembershipCell::cutOff(Node &node)
{
    cutOff_.insert(&node);
    cluster.isolate(node);
}

void MembershipCell::rejoin(Node &node)
{
    cutOff_.erase(&node);
    std::erase_if(cluster.network.blockedLinks,
                  [&node](const auto &link) { return link.first == node.id || link.second == node.id; });
    isolateAgain();
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

void MembershipCell::startTraffic()
{
    hasTraffic_ = true;
    lastServed_ = cluster.now;
}

Duration MembershipCell::longestOutage() const
{
    return std::max(longestOutage_, cluster.now - lastServed_);
}

MembershipCell::Node &MembershipCell::randomNode()
{
    std::vector<Node *> running;
    for (const auto &node : cluster.nodes) {
        if (node->group && !cutOff_.contains(node.get()))
            running.push_back(node.get());
    }
    return *running[cluster.random.below(running.size())];
}

bool MembershipCell::isLearner(const Node &node)
{
    const auto *leader = cluster.leader();
    if (!leader)
        return false;
    const auto &learners = leader->group->membership().learners;
    return std::find(learners.begin(), learners.end(), node.id) != learners.end();
}

bool MembershipCell::isWhole()
{
    return hasEnoughVoters() && cluster.leader()->group->membership().voters.size() == voters_;
}

bool MembershipCell::hasEnoughVoters()
{
    const auto *leader = cluster.leader();
    if (!leader || !leader->group->isLeaderWithState() || leader->group->membership().voters.size() < voters_)
        return false;
    const auto status = leader->group->memberStatus(cluster.localTime(*leader));
    return std::all_of(status.begin(), status.end(), [](const auto &member) {
        return !member.isVoter || (member.timeSinceAnswer && *member.timeSinceAnswer <= answerLimit);
    });
}

std::optional<Replication::MembershipChange> MembershipCell::openChange()
{
    const auto *leader = cluster.leader();
    if (!leader || !processOf(*leader).openChange)
        return std::nullopt;
    return processOf(*leader).change;
}

std::string MembershipCell::description()
{
    const auto *leader = cluster.leader();
    if (!leader)
        return "no leader";
    std::string text = "leader " + leader->id.value() + ", others";
    for (const auto &member : leader->group->memberStatus(cluster.localTime(*leader))) {
        const auto silence = member.timeSinceAnswer ? std::to_string(*member.timeSinceAnswer / 1ms) : "never";
        text += std::string(member.isVoter ? " voter " : " learner ") + member.instance.value() + " (" + silence + ')';
    }
    return text;
}

void MembershipCell::step()
{
    cluster.run(tick);
    runDelayed();
    for (const auto &node : cluster.nodes) {
        if (!node->group || node->isPaused)
            continue;
        auto &process = processOf(*node);
        changeMembers(*node, process);
        announce(*node, process);
    }
    if (hasTraffic_)
        sendTraffic();
}

void MembershipCell::runDelayed()
{
    // Actions may add others.
    const auto due = std::stable_partition(delayed_.begin(), delayed_.end(),
                                           [this](const Delayed &item) { return item.at > cluster.now; });
    std::vector<Delayed> ready(std::make_move_iterator(due), std::make_move_iterator(delayed_.end()));
    delayed_.erase(due, delayed_.end());
    for (const auto &item : ready)
        item.action();
}

void MembershipCell::sendTraffic()
{
    if (cluster.acceptedCommands.size() > served_) {
        served_ = cluster.acceptedCommands.size();
        longestOutage_ = longestOutage();
        lastServed_ = cluster.now;
    }
    if (cluster.now < nextSend_)
        return;
    nextSend_ = cluster.now + sendInterval;
    cluster.propose("traffic-" + std::to_string(++nextCommand_));
}

std::vector<std::string> MembershipCell::seeds() const
{
    std::vector<std::string> addresses;
    const auto listed = cluster.now - seedLag;
    for (const auto &item : list_) {
        const bool isListed = item.since <= listed && (!item.until || *item.until > listed);
        if ((isListed || hasOldSeeds) && addresses.size() < seedCount)
            addresses.emplace_back(ipOf(item.node->id));
    }
    return addresses;
}

MembershipCell::Process &MembershipCell::processOf(const Node &node)
{
    const auto found = processes_.find(&node);
    if (found != processes_.end() && found->second.incarnation == node.incarnation)
        return found->second;
    Process process{GroupMembership(node.id, seeds(), voters_, catchUpTime), node.incarnation};
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
    if (index) {
        process.openChange = index.value();
        process.change = *change;
    } else {
        process.membership.changeEnded(false);
    }
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
        respond(announceLimit, [ip](GroupMembership &membership) { membership.announcementFailed(ip); });
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
