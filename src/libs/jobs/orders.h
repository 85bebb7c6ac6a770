#pragma once

#include "core/time.h"
#include "jobs/taskname.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// What the scheduler tells minions, and what they answer.

namespace Pistachio::Jobs
{

/// One life of a minion. A minion that starts again under its id is another one.
struct MinionIncarnation {
    std::string id;
    std::int64_t bornUnixMs = 0;

    auto operator<=>(const MinionIncarnation &) const = default;
};

/// Begin a run. Sending it again is harmless.
struct StartOrder {
    MinionIncarnation minion;
    std::string address;
    TaskName task;
    std::uint64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::int64_t leaseExpiresAtMs = 0; ///< on the minion's clock, for everything that runs there
    std::uint64_t fencingToken = 0;
};

/// End a run, or make sure that it never begins.
struct StopOrder {
    MinionIncarnation minion;
    std::string address;
    TaskName task;
    std::uint64_t run = 0;
    std::uint64_t fencingToken = 0;
};

/// Renew the lease and report.
struct LeaseOrder {
    MinionIncarnation minion;
    std::string address;
    std::optional<std::int64_t> leaseExpiresAtMs; ///< on the minion's clock
    std::uint64_t acknowledgedEnd = 0; ///< ends up to this number are stored
    Duration wait{}; ///< for an end
    std::uint64_t fencingToken = 0;
};

/// Let a run work at a share of its speed.
struct ThrottleOrder {
    MinionIncarnation minion;
    std::string address;
    TaskName task;
    std::uint64_t run = 0;
    std::uint32_t percent = 100;
    std::uint64_t fencingToken = 0;
};

enum class OrderOutcome : std::uint8_t {
    Done,
    StaleFencingToken, ///< a later leader has given orders
    StaleRun, ///< that run or a later one has ended there
    LeaseTooShort,
    InsufficientCapacity,
    TicketRejected,
    Invalid,
    Refused, ///< the minion is unhealthy and has done nothing
    IncarnationMismatch, ///< the address belongs to another life or minion
    Unanswered, ///< may have been carried out, or may be later
};

[[nodiscard]] std::string toString(OrderOutcome outcome);

/// The answer to a start, stop or pace order.
struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::Unanswered;
    std::optional<std::int64_t> clockMs;
};

struct ActiveRun {
    TaskName task;
    std::uint64_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0; ///< of the work that is done
    std::int64_t measurement = 0; ///< tail in ms of a serving task, millicores in use of any other
};

enum class RunEnd : std::uint8_t { Done, Failed, Stopped, LeaseExpired, GangMemberEnded, GangIncomplete };

struct EndedRun {
    std::uint64_t number = 0; ///< counts the ends of this life of the minion
    TaskName task;
    std::uint64_t run = 0;
    RunEnd end = RunEnd::Done;
    std::string checkpoint;
};

struct LeaseAnswer {
    OrderOutcome outcome = OrderOutcome::Unanswered;
    std::optional<std::int64_t> clockMs;
    std::int64_t bornUnixMs = 0; ///< 0: not told
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
};

/// What a minion says of itself.
struct MinionReport {
    MinionIncarnation incarnation;
    std::string address;
    std::string service;
    std::string zone;
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    std::vector<std::string> labels;
    std::uint64_t sequence = 0;
    bool draining = false;
};

/// Asks which minions may run a step.
struct AdviceRequest {
    StepName step;
    std::vector<std::string> minions;
};

struct ApprovedMinion {
    std::string minion;
    std::string ticket;
};

} // namespace Pistachio::Jobs
