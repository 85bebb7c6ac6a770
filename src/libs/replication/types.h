#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Pistachio::Replication
{

/// The position of an entry in a group's log. The first entry has index 1; 0 stands for "before the log".
using LogIndex = std::uint64_t;

/// The number of a term. A term starts with an election and has at most one leader.
using Term = std::uint64_t;

enum class EntryKind : std::uint8_t {
    Noop, ///< starts a term; lets the leader commit entries of earlier terms
    Command, ///< passed to the state machine
    Membership, ///< the members that apply from this entry on
};

/// One position of the replicated log.
struct Entry {
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Command;
    std::string payload;

    bool operator==(const Entry &) const = default;
};

/// The voters and learners of a group, each list sorted.
struct Membership {
    std::vector<InstanceId> voters;
    std::vector<InstanceId> learners; ///< receive the log without a vote

    bool operator==(const Membership &) const = default;
};

/// What a replica must persist besides the log.
struct HardState {
    Term term = 0;
    InstanceId votedFor; ///< empty: no vote in this term
    LogIndex commit = 0; ///< may lag behind; with it a restarted replica need not wait for its leader

    bool operator==(const HardState &) const = default;
};

/// The state of the state machine after the entry at `index`; replaces the log up to there.
struct Snapshot {
    LogIndex index = 0;
    Term term = 0;
    Membership membership;
    std::string data;
};

/// Immutable, since the log, the transfers to followers and the store share it.
using SnapshotPointer = std::shared_ptr<const Snapshot>;

/// One change of the members; the log takes one at a time.
struct MembershipChange {
    enum class Kind : std::uint8_t { AddLearner, Promote, Remove };
    Kind kind = Kind::AddLearner;
    InstanceId instance;
};

/// The state of another member as its leader knows it.
struct MemberStatus {
    InstanceId instance;
    bool isVoter = false;
    LogIndex match = 0; ///< the last entry that is durable there and equal to the leader's
    std::optional<Duration> timeSinceAnswer; ///< age of the newest message that it answered; empty: none in this term
    bool isReceivingSnapshot = false;
    /// It refused an entry that it had acknowledged, so its files are lost or outdated: it must be removed and added
    /// again.
    bool hasLostData = false;
};

} // namespace Pistachio::Replication
