#pragma once

#include "core/random.h"
#include "core/time.h"
#include "replication/statemachine.h"
#include "replication/timing.h"
#include "storage/memoryfilesystem.h"
#include "storage/replicatedgroup.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Pistachio::Replication
{

/// Checks the invariants of a replicated group over all its replicas and collects violations as texts.
class Checker
{
public:
    void recordLeader(Term term, const InstanceId &leader);
    void checkLeaderLease(const InstanceId &holder, Term term, const InstanceId &otherLeader, Term otherTerm);

    /// Checks that what a replica applies is a prefix of the one sequence that all replicas apply.
    void checkApplied(const InstanceId &instance, std::size_t position, LogIndex index, const std::string &command);

    /// Records a command that a client was told to be accepted, which must never be lost.
    void recordAccepted(LogIndex index, const std::string &command) { accepted_[index] = command; }
    void checkAccepted(const std::map<LogIndex, std::string> &applied);

    void report(const std::string &violation) { violations.insert(violation); }
    [[nodiscard]] bool hasViolation(const std::string &part) const;
    [[nodiscard]] std::string summary() const;

    std::set<std::string> violations;
    std::vector<std::pair<LogIndex, std::string>> sequence;

private:
    std::map<Term, InstanceId> leaders_;
    std::map<LogIndex, std::string> accepted_;
};

/// Records the applied commands and passes them to the checker for comparison.
class RecordingStateMachine : public StateMachine
{
public:
    RecordingStateMachine(Checker &checker, InstanceId instance)
        : checker_(checker)
        , instance_(std::move(instance))
    {
    }

    std::string apply(LogIndex index, std::string_view command) override;
    [[nodiscard]] std::string snapshot() const override;
    Result<void> restore(std::string_view state) override;

    std::map<LogIndex, std::string> commands;

private:
    Checker &checker_;
    InstanceId instance_;
};

/// The faults of the links between the replicas.
struct Network {
    Duration delay = 1ms;
    Duration jitter = 0ms;
    std::uint64_t lossPercent = 0;
    std::uint64_t duplicatePercent = 0;
    std::set<std::pair<InstanceId, InstanceId>> blockedLinks; ///< from, to
};

/// A group of replicas in virtual time, on files that lose unsynced data at a crash.
class Cluster
{
public:
    struct Node {
        InstanceId id;
        Storage::MemoryFileSystem files;
        std::unique_ptr<RecordingStateMachine> machine;
        std::unique_ptr<Storage::ReplicatedGroup> group; ///< null: crashed
        double clockRate = 1;
        Duration clockOffset = 0ms;
        bool isPaused = false;
        bool joins = false; ///< has no initial members
        bool isGone = false; ///< crashed for good
        bool isFlushScheduled = false;
        std::uint64_t incarnation = 0; ///< events of an earlier incarnation are dropped
        std::vector<Message> heldMessages; ///< arrived during a pause
    };

    /// \param voters the number of initial voters
    /// \param learners the number of initial learners
    /// \param nonMembers the number of instances that know the group but are no members
    /// \param namePrefix the ids are this and a number
    Cluster(std::uint64_t seed, std::size_t voters, std::size_t learners = 0, std::size_t nonMembers = 0,
            const std::string &namePrefix = "control-");

    void run(Duration duration);
    /// \return whether the condition came true in time.
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    void crash(Node &node);
    void start(Node &node);
    Node &addEmpty(InstanceId id); ///< starts an instance that must join the group
    void restartAll(); ///< applies settings that are read when a replica starts
    void pause(Node &node, bool isPaused);
    void setClockRate(Node &node, double rate);
    void isolate(const Node &node);
    void healAll(); ///< restarts crashed nodes, resumes paused ones and restores all links

    /// \return the running leader with the highest term, or null.
    Node *leader();
    Node &node(std::size_t index) { return *nodes[index]; }

    /// Waits for a leader that has applied the first entry of its term.
    Node &awaitLeader();

    /// Proposes a command to the current leader.
    /// \return whether it was proposed.
    bool propose(const std::string &command);

    /// Proposes the command again until it is accepted.
    /// \return false when that took longer than \p limit.
    bool proposeAndWait(const std::string &command, Duration limit = 10s);

    /// \return whether there is a leader with up-to-date state and all members run and have applied the same entries.
    [[nodiscard]] bool isConverged();

    /// Sends a node's outgoing messages and schedules its flush.
    void afterEvent(Node &node);

    [[nodiscard]] TimePoint localTime(const Node &node) const;

    RandomSource random;
    Checker checker;
    Network network;
    std::vector<std::unique_ptr<Node>> nodes;
    TimePoint now{1h};
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    bool countBytes = false;
    std::set<std::string> acceptedCommands;
    Timing timing;
    Duration tickInterval = 50ms;
    Duration syncDuration = 1ms;
    std::uint64_t snapshotAfterEntries = 60;
    bool notifiesOfStops = false; ///< a crash is reported to the nodes that a link connects
    bool losesSyncedData = false; ///< a crash loses what replicas synced while they ran

private:
    struct Event {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator>(const Event &other) const { return std::tie(at, number) > std::tie(other.at, other.number); }
    };

    void notifyOfStop(const Node &stopped);
    void schedule(Duration delay, std::function<void()> action);
    void scheduleTick(Node &node);
    void deliver(const Message &message);
    void flush(Node &node);
    void send(const std::vector<Message> &sent);
    void checkInvariants();
    /// Checks that no majority confirms a leader for a time after the election of a later leader.
    void checkLeadershipConfirmation(const Node &node);

    Membership initialMembers_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t nextEventNumber_ = 0;
    std::map<Term, std::map<InstanceId, TimePoint>> elections_; ///< each node's local time when a term got its leader
    std::map<std::pair<Term, LogIndex>, std::string> proposed_;
};

} // namespace Pistachio::Replication
