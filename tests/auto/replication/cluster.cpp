#include "replication/cluster.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace Pistachio::Replication
{

void Checker::recordLeader(Term term, const InstanceId &leader)
{
    const auto [known, isNew] = leaders_.emplace(term, leader);
    if (known->second != leader)
        report("two leaders in term " + std::to_string(term));
}

void Checker::checkLeaderLease(const InstanceId &holder, Term term, const InstanceId &otherLeader, Term otherTerm)
{
    if (holder != otherLeader && otherTerm > term)
        report("leader lease of " + holder.value() + " overlaps with leader " + otherLeader.value());
}

void Checker::checkApplied(const InstanceId &instance, std::size_t position, LogIndex index, const std::string &command)
{
    if (position == sequence.size())
        sequence.emplace_back(index, command);
    else if (position > sequence.size() || sequence[position] != std::pair(index, command))
        report("sequence of " + instance.value() + " differs at index " + std::to_string(index));
}

void Checker::checkAccepted(const std::map<LogIndex, std::string> &applied)
{
    for (const auto &[index, command] : accepted_) {
        const auto found = applied.find(index);
        if (found == applied.end() || found->second != command)
            report("accepted command lost at index " + std::to_string(index));
    }
}

bool Checker::hasViolation(const std::string &part) const
{
    return std::ranges::any_of(violations,
                               [&](const auto &violation) { return violation.find(part) != std::string::npos; });
}

std::string Checker::summary() const
{
    std::string all;
    for (const auto &violation : violations)
        all += violation + "; ";
    return all;
}

std::string RecordingStateMachine::apply(LogIndex index, std::string_view command)
{
    checker_.checkApplied(instance_, commands.size(), index, std::string(command));
    commands.emplace(index, command);
    return "applied " + std::string(command);
}

std::string RecordingStateMachine::snapshot() const
{
    std::ostringstream out;
    for (const auto &[index, command] : commands)
        out << index << ' ' << command << '\n';
    return out.str();
}

Result<void> RecordingStateMachine::restore(std::string_view state)
{
    std::istringstream in{std::string(state)};
    commands.clear();
    LogIndex index = 0;
    std::string command;
    while (in >> index >> command) {
        checker_.checkApplied(instance_, commands.size(), index, command);
        commands.emplace(index, command);
    }
    return success();
}

Cluster::Cluster(std::uint64_t seed, std::size_t voters, std::size_t learners, std::size_t nonMembers,
                 const std::string &namePrefix)
    : random(seed)
{
    for (std::size_t i = 0; i < voters + learners + nonMembers; ++i) {
        nodes.push_back(std::make_unique<Node>());
        nodes.back()->id = InstanceId(namePrefix + std::to_string(i + 1));
        nodes.back()->clockOffset = Duration(static_cast<Duration::rep>(random.below(1'000'000'000)));
        // The rates of two clocks may differ by 2%, as Timing allows.
        nodes.back()->clockRate = 0.99 + 0.02 * random.fraction();
        if (i < voters)
            initialMembers_.voters.push_back(nodes.back()->id);
        else if (i < voters + learners)
            initialMembers_.learners.push_back(nodes.back()->id);
    }
    for (auto &node : nodes)
        start(*node);
}

TimePoint Cluster::localTime(const Node &node) const
{
    const auto elapsed = static_cast<double>(now.time_since_epoch().count()) * node.clockRate;
    return TimePoint(Duration(static_cast<Duration::rep>(elapsed)) + node.clockOffset);
}

void Cluster::schedule(Duration delay, std::function<void()> action)
{
    events_.push({now + delay, nextEventNumber_++, std::move(action)});
}

void Cluster::run(Duration duration)
{
    runUntil([] { return false; }, duration);
}

bool Cluster::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const TimePoint end = now + limit;
    while (!condition()) {
        if (events_.empty() || events_.top().at > end) {
            now = end;
            return condition();
        }
        const auto action = events_.top().action;
        now = events_.top().at;
        events_.pop();
        action();
        checkInvariants();
    }
    return true;
}

void Cluster::start(Node &node)
{
    ++node.incarnation;
    node.isPaused = false;
    node.isFlushScheduled = false;
    node.heldMessages.clear();
    node.machine = std::make_unique<RecordingStateMachine>(checker, node.id);
    Storage::GroupOptions options{GroupId("zone:svealand"), node.id, node.joins ? Membership() : initialMembers_,
                                  "data/zone"};
    options.joins = node.joins;
    options.snapshotAfterEntries = snapshotAfterEntries;
    options.keptEntries = 20;
    options.timing = timing;
    node.files.forgetSyncs = false;
    auto opened = Storage::ReplicatedGroup::open(localTime(node), options, node.files, *node.machine,
                                                 RandomSource(random.below(1ULL << 32)));
    if (!opened)
        return checker.report("start of " + node.id.value() + ": " + opened.error().message);
    node.group = std::move(opened).value();
    node.files.forgetSyncs = losesSyncedData;
    scheduleTick(node);
}

Cluster::Node &Cluster::addEmpty(InstanceId id)
{
    nodes.push_back(std::make_unique<Node>());
    Node &node = *nodes.back();
    node.id = std::move(id);
    node.joins = true;
    node.clockOffset = Duration(static_cast<Duration::rep>(random.below(1'000'000'000)));
    start(node);
    return node;
}

void Cluster::restartAll()
{
    for (auto &node : nodes) {
        crash(*node);
        start(*node);
    }
}

void Cluster::crash(Node &node)
{
    node.group.reset();
    node.files.crash(random);
    ++node.incarnation;
    if (notifiesOfStops)
        notifyOfStop(node);
}

void Cluster::notifyOfStop(const Node &stopped)
{
    for (auto &other : nodes) {
        if (other.get() == &stopped || network.blockedLinks.contains({stopped.id, other->id}))
            continue;
        schedule(network.delay, [this, &node = *other, id = stopped.id, incarnation = other->incarnation] {
            if (node.incarnation != incarnation || !node.group || node.isPaused)
                return;
            node.group->memberStopped(localTime(node), id);
            afterEvent(node);
        });
    }
}

void Cluster::pause(Node &node, bool isPaused)
{
    node.isPaused = isPaused;
    for (const Message &message : std::exchange(node.heldMessages, {}))
        deliver(message);
}

void Cluster::setClockRate(Node &node, double rate)
{
    const TimePoint before = localTime(node);
    node.clockRate = rate;
    node.clockOffset += before - localTime(node);
}

void Cluster::isolate(const Node &node)
{
    for (const auto &other : nodes) {
        network.blockedLinks.emplace(node.id, other->id);
        network.blockedLinks.emplace(other->id, node.id);
    }
}

void Cluster::healAll()
{
    const Duration delay = network.delay;
    network = {};
    network.delay = delay;
    for (auto &node : nodes) {
        if (node->isGone)
            continue;
        if (!node->group)
            start(*node);
        pause(*node, false);
    }
}

void Cluster::scheduleTick(Node &node)
{
    schedule(tickInterval, [this, &node, incarnation = node.incarnation] {
        if (node.incarnation != incarnation)
            return;
        if (!node.isPaused) {
            node.group->tick(localTime(node));
            afterEvent(node);
        }
        scheduleTick(node);
    });
}

void Cluster::afterEvent(Node &node)
{
    send(node.group->takeMessages());
    if (std::exchange(node.isFlushScheduled, true))
        return;
    // During the write the node may crash, and further events join the same sync.
    schedule(syncDuration, [this, &node, incarnation = node.incarnation] {
        if (node.incarnation == incarnation)
            flush(node);
    });
}

void Cluster::flush(Node &node)
{
    node.isFlushScheduled = false;
    if (node.isPaused)
        return;
    node.group->flush(localTime(node));
    send(node.group->takeMessages());
    for (const auto &completion : node.group->takeCompletions()) {
        const auto command = proposed_.find({completion.term, completion.index});
        if (command == proposed_.end() || !completion.answer)
            continue;
        if (completion.answer.value() != "applied " + command->second)
            checker.report("wrong answer for " + command->second);
        checker.recordAccepted(completion.index, command->second);
        acceptedCommands.insert(command->second);
    }
}

void Cluster::send(const std::vector<Message> &sent)
{
    for (const Message &message : sent) {
        ++messages;
        if (countBytes)
            bytes += encodedSize(message);
        if (network.blockedLinks.contains({message.from, message.to}) || random.below(100) < network.lossPercent)
            continue;
        const int copies = random.below(100) < network.duplicatePercent ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto jitter = random.below(static_cast<std::uint64_t>(network.jitter.count()) + 1);
            schedule(network.delay + Duration(static_cast<Duration::rep>(jitter)), [this, message] {
                if (!network.blockedLinks.contains({message.from, message.to}))
                    deliver(message);
            });
        }
    }
}

void Cluster::deliver(const Message &message)
{
    const auto node = std::ranges::find(nodes, message.to, [](const auto &candidate) { return candidate->id; });
    if (node == nodes.end() || !(*node)->group)
        return;
    if ((*node)->isPaused)
        return (*node)->heldMessages.push_back(message);
    (*node)->group->receive(localTime(**node), message);
    afterEvent(**node);
}

void Cluster::checkInvariants()
{
    for (const auto &node : nodes) {
        if (!node->group || !node->group->isLeader())
            continue;
        checker.recordLeader(node->group->term(), node->id);
        if (const auto [election, isNew] = elections_.try_emplace(node->group->term()); isNew) {
            for (const auto &other : nodes)
                election->second[other->id] = localTime(*other);
        }
        checkLeadershipConfirmation(*node);
        for (const auto &other : nodes) {
            // Includes paused replicas, since they could resume at this time.
            if (other != node && other->group && other->group->isLeader()
                && other->group->hasLeaderLease(localTime(*other)))
                checker.checkLeaderLease(other->id, other->group->term(), node->id, node->group->term());
        }
    }
}

void Cluster::checkLeadershipConfirmation(const Node &node)
{
    const TimePoint confirmed = node.group->leadershipConfirmedAt(localTime(node));
    for (auto later = elections_.upper_bound(node.group->term()); later != elections_.end(); ++later) {
        if (confirmed > later->second.at(node.id))
            checker.report("leadership of " + node.id.value() + " is confirmed after a later election");
    }
}

Cluster::Node *Cluster::leader()
{
    Node *found = nullptr;
    for (const auto &node : nodes) {
        if (node->group && !node->isPaused && node->group->isLeader()
            && (!found || node->group->term() > found->group->term()))
            found = node.get();
    }
    return found;
}

Cluster::Node &Cluster::awaitLeader()
{
    const auto isReady = [this] { return leader() && leader()->group->isLeaderWithState(); };
    if (!runUntil(isReady, 20s)) {
        checker.report("no leader within 20 s");
        return *nodes.front();
    }
    return *leader();
}

bool Cluster::propose(const std::string &command)
{
    Node *node = leader();
    if (!node)
        return false;
    const auto index = node->group->propose(localTime(*node), command);
    if (!index)
        return false;
    proposed_[{node->group->term(), index.value()}] = command;
    afterEvent(*node);
    return true;
}

bool Cluster::proposeAndWait(const std::string &command, Duration limit)
{
    std::optional<TimePoint> proposedAt;
    return runUntil(
        [&] {
            constexpr Duration repeat = 100ms;
            if (!acceptedCommands.contains(command) && (!proposedAt || now - *proposedAt >= repeat) && propose(command))
                proposedAt = now;
            return acceptedCommands.contains(command);
        },
        limit);
}

bool Cluster::isConverged()
{
    const Node *leading = leader();
    if (!leading || !leading->group->isLeaderWithState())
        return false;
    const Membership &members = leading->group->membership();
    return std::ranges::all_of(nodes, [&](const auto &node) {
        const bool isMember = std::ranges::binary_search(members.voters, node->id)
            || std::ranges::binary_search(members.learners, node->id);
        return !isMember || (node->group && node->group->appliedIndex() == leading->group->appliedIndex());
    });
}

} // namespace Pistachio::Replication
