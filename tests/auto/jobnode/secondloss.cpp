#include "secondloss.h"

#include <algorithm>

namespace Pistachio::Jobnode
{

using Replication::MembershipChange;

namespace
{

constexpr Duration replacementDelay = 1s; ///< until the platform starts the successor of a lost instance
constexpr Duration catchUpLimit = 4s; ///< the platform's catchUpS
constexpr Duration recoveryLimit = 12s; ///< the platform's recoveryS
constexpr Duration electionLimit = 500ms;
constexpr Duration outageLimit = 4s; ///< while one instance at a time is lost
constexpr Duration shortestLoss = 1s;
constexpr Duration longestLoss = 6s;
constexpr Duration shortestRestart = 300ms;
constexpr Duration longestRestart = 1s;
constexpr Duration longestOverlap = 8s; ///< of an old instance with its successor
constexpr std::size_t fewestVoters = 3; ///< more bear two losses at a time
constexpr std::size_t preparedCommands = 100; ///< more than one snapshot
constexpr std::size_t largeCommand = 20'000; ///< bytes

const char *nameOf(SecondLoss::Kind kind)
{
    static const char *const names[] = {"wipe",
                                        "replace",
                                        "power-loss",
                                        "freeze",
                                        "cut-off",
                                        "cut-inbound",
                                        "cut-outbound",
                                        "restart",
                                        "kill-all",
                                        "split",
                                        "successor-wiped",
                                        "successor-wiped-at-change",
                                        "leader-killed-at-change",
                                        "old-returns",
                                        "old-returns-with-other"};
    return names[static_cast<std::size_t>(kind)];
}

} // namespace

const std::vector<SecondLoss::Kind> &SecondLoss::allKinds()
{
    static const std::vector<Kind> kinds = {Kind::Wipe,
                                            Kind::Replace,
                                            Kind::PowerLoss,
                                            Kind::Freeze,
                                            Kind::CutOff,
                                            Kind::CutInbound,
                                            Kind::CutOutbound,
                                            Kind::Restart,
                                            Kind::KillAll,
                                            Kind::Split,
                                            Kind::SuccessorWiped,
                                            Kind::SuccessorWipedAtChange,
                                            Kind::LeaderKilledAtChange,
                                            Kind::OldReturns,
                                            Kind::OldReturnsWithOther};
    return kinds;
}

bool SecondLoss::isAllowed(Kind kind, Duration at, bool isPlanned, std::size_t voters)
{
    if (kind == Kind::Wipe || kind == Kind::Replace)
        return at >= catchUpLimit || voters > fewestVoters;
    return !isPlanned || (kind != Kind::OldReturns && kind != Kind::OldReturnsWithOther);
}

SecondLoss::SecondLoss(Kind kind, Duration at, bool isPlanned, std::uint64_t seed, std::size_t voters)
    : kind_(kind)
    , at_(at)
    , isPlanned_(isPlanned)
    , voters_(voters)
    , random_(seed)
    , cell_(seed, voters)
    , title_(std::string(nameOf(kind)) + " after " + std::to_string(at / 1s) + " s, "
             + (isPlanned ? "planned" : "unplanned") + ", " + std::to_string(voters) + " voters, seed "
             + std::to_string(seed))
{
    // Every third seed has a slow and lossy network, every third a large log.
    if (seed % 3 == 1) {
        cell_.cluster.network.jitter = 10ms;
        cell_.cluster.network.lossPercent = 2;
    }
    // Half of them hit at any moment, the others as early as allowed.
    if (seed % 2 == 1)
        at_ += between(0s, 1s);
    const std::string padding(seed % 3 == 2 ? largeCommand : 0, 'x');
    prepare();
    for (std::size_t i = 0; i < preparedCommands; ++i)
        cell_.cluster.proposeAndWait("prepared-" + std::to_string(i) + padding);
    cell_.startTraffic();
}

std::string SecondLoss::play()
{
    replaceFirst();
    const auto start = cell_.cluster.now;
    const bool isChecked = at_ >= catchUpLimit;
    if (isChecked) {
        cell_.run(catchUpLimit);
        checkSuccessor(catchUpLimit);
    }
    cell_.run(start + at_ - cell_.cluster.now);
    loseAgain();
    checkService();
    return problems_.empty() ? std::string() : title_ + ": " + problems_;
}

void SecondLoss::prepare()
{
    if (!cell_.accepts(recoveryLimit))
        report("the group does not start");
}

void SecondLoss::replaceFirst()
{
    old_ = &randomNode();
    const bool isCutOff = kind_ == Kind::OldReturns || kind_ == Kind::OldReturnsWithOther;
    if (isPlanned_) {
        successor_ = &cell_.addSpare();
        cell_.after(between(0s, longestOverlap), [this] { cell_.retire(*old_); });
        return;
    }
    if (isCutOff)
        cell_.cutOff(*old_);
    else
        cell_.lose(*old_);
    cell_.run(replacementDelay);
    successor_ = &cell_.addSpare();
}

/// Loses something and waits until all are back.
void SecondLoss::loseAgain()
{
    auto &victim = randomNode();
    const bool keepsDisk = kind_ >= Kind::PowerLoss && kind_ <= Kind::Restart;
    if (keepsDisk && at_ < catchUpLimit && &victim != successor_)
        isTolerated_ = voters_ > fewestVoters;
    switch (kind_) {
    case Kind::Wipe:
        return wipe(victim);
    case Kind::Replace:
        return replace(victim);
    case Kind::PowerLoss:
        cell_.cluster.crash(victim);
        return takeDown(victim, between(shortestLoss, longestLoss));
    case Kind::Freeze:
        cell_.cluster.pause(victim, true);
        cell_.run(between(shortestLoss, longestLoss));
        return cell_.cluster.pause(victim, false);
    case Kind::CutOff:
        return cut(victim, true, true);
    case Kind::CutInbound:
        return cut(victim, true, false);
    case Kind::CutOutbound:
        return cut(victim, false, true);
    case Kind::Restart:
        cell_.stop(victim);
        return takeDown(victim, between(shortestRestart, longestRestart));
    case Kind::KillAll:
        return killAll();
    case Kind::Split:
        return split();
    case Kind::SuccessorWiped:
        return wipeSuccessorTwice();
    case Kind::SuccessorWipedAtChange:
        awaitChange();
        return wipe(*successor_);
    case Kind::LeaderKilledAtChange:
        awaitChange();
        return killLeader();
    case Kind::OldReturns:
        return cell_.rejoin(*old_);
    case Kind::OldReturnsWithOther:
        return returnWithOther();
    }
}

void SecondLoss::wipe(Node &node)
{
    cell_.cluster.crash(node);
    node.isGone = true;
    cell_.run(between(shortestRestart, longestRestart));
    auto &next = cell_.restartEmpty(node);
    successor_ = &next;
}

void SecondLoss::replace(Node &node)
{
    cell_.lose(node);
    cell_.run(replacementDelay);
    successor_ = &cell_.addSpare();
}

void SecondLoss::cut(Node &node, bool inbound, bool outbound)
{
    for (const auto &other : cell_.cluster.nodes) {
        if (inbound)
            cell_.cluster.network.blockedLinks.emplace(other->id, node.id);
        if (outbound)
            cell_.cluster.network.blockedLinks.emplace(node.id, other->id);
    }
    cell_.run(between(shortestLoss, longestLoss));
    cell_.rejoin(node);
}

void SecondLoss::killAll()
{
    isTolerated_ = false;
    std::vector<Node *> stopped;
    for (const auto &node : cell_.cluster.nodes) {
        if (node->isGone)
            continue;
        cell_.stop(*node);
        stopped.push_back(node.get());
    }
    for (auto *node : stopped)
        cell_.after(between(shortestRestart, longestRestart), [this, node] {
            if (!node->isGone)
                cell_.cluster.start(*node);
        });
    cell_.run(longestRestart + 100ms);
}

void SecondLoss::split()
{
    isTolerated_ = false;
    std::vector<InstanceId> halves[2];
    for (const auto &node : cell_.cluster.nodes)
        halves[random_.below(2)].push_back(node->id);
    for (const auto &left : halves[0]) {
        for (const auto &right : halves[1]) {
            cell_.cluster.network.blockedLinks.emplace(left, right);
            cell_.cluster.network.blockedLinks.emplace(right, left);
        }
    }
    cell_.run(between(shortestLoss, longestLoss));
    cell_.cluster.network.blockedLinks.clear();
}

void SecondLoss::wipeSuccessorTwice()
{
    wipe(*successor_);
    cell_.run(between(0s, catchUpLimit));
    wipe(*successor_);
}

/// Waits for a change that is not committed: the first, the second or the third one.
void SecondLoss::awaitChange()
{
    const auto wanted = static_cast<MembershipChange::Kind>(random_.below(3));
    cell_.runUntil(
        [&] {
            const auto change = cell_.openChange();
            return change && change->kind == wanted;
        },
        catchUpLimit);
}

void SecondLoss::killLeader()
{
    isTolerated_ = voters_ > fewestVoters;
    auto *leader = cell_.cluster.leader();
    if (!leader)
        return;
    cell_.stop(*leader);
    takeDown(*leader, between(shortestRestart, longestRestart));
}

void SecondLoss::returnWithOther()
{
    isTolerated_ = false;
    auto &other = randomNode();
    cell_.rejoin(*old_);
    for (const auto &node : cell_.cluster.nodes) {
        if (node.get() == old_ || node.get() == &other)
            continue;
        for (const auto &id : {old_->id, other.id}) {
            cell_.cluster.network.blockedLinks.emplace(node->id, id);
            cell_.cluster.network.blockedLinks.emplace(id, node->id);
        }
    }
    cell_.run(between(shortestLoss, longestLoss));
    cell_.cluster.network.blockedLinks.clear();
}

void SecondLoss::takeDown(Node &node, Duration downTime)
{
    cell_.run(downTime);
    if (!node.isGone)
        cell_.cluster.start(node);
}

void SecondLoss::checkSuccessor(Duration age)
{
    // An end as planned at this moment may leave an election or a voter more.
    const bool isWhole
        = isPlanned_ ? cell_.runUntil([this] { return cell_.hasEnoughVoters(); }, electionLimit) : cell_.isWhole();
    if (!isWhole)
        report("not whole " + std::to_string(age / 1ms)
               + " ms after the start of the successor: " + cell_.description());
}

/// All are back.
void SecondLoss::checkService()
{
    const auto back = cell_.cluster.now;
    if (isTolerated_) {
        cell_.run(catchUpLimit);
        checkSuccessor(catchUpLimit);
        if (cell_.longestOutage() > outageLimit)
            report("no command accepted for " + std::to_string(cell_.longestOutage() / 1ms) + " ms");
    }
    if (!cell_.accepts(recoveryLimit))
        report("no service: " + cell_.description());
    if (!cell_.runUntil([this] { return cell_.isWhole(); }, back + recoveryLimit - cell_.cluster.now))
        report("not whole after the recovery time: " + cell_.description());
    if (const auto *leader = cell_.cluster.leader())
        cell_.cluster.checker.checkAccepted(leader->machine->commands);
    if (const auto violations = cell_.cluster.checker.summary(); !violations.empty())
        report(violations);
}

void SecondLoss::report(const std::string &text)
{
    problems_ += text + "; ";
}

/// \return one that runs and is not cut off.
SecondLoss::Node &SecondLoss::randomNode()
{
    std::vector<Node *> running;
    for (const auto &node : cell_.cluster.nodes) {
        if (node->group && node.get() != old_)
            running.push_back(node.get());
    }
    return *running[random_.below(running.size())];
}

Duration SecondLoss::between(Duration shortest, Duration longest)
{
    return shortest
        + Duration(
               static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>((longest - shortest).count()) + 1)));
}

} // namespace Pistachio::Jobnode
