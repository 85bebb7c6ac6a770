#pragma once

#include "core/time.h"
#include "jobs/minionfence.h"
#include "jobs/taskname.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Orders from the scheduler to minions, and their answers.

namespace Pistachio::Jobs
{

/// One incarnation of a minion. A restart under the same id is a new incarnation.
struct MinionIncarnation {
    std::string id;
    std::int64_t bornUnixMs = 0;

    auto operator<=>(const MinionIncarnation &) const = default;
};

/// Starts a run; may be repeated.
struct StartOrder {
    MinionIncarnation minion;
    std::string address;
    TaskName task;
    std::uint64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::int64_t leaseExpiresAtMs = 0; ///< on the minion's clock; applies to all its runs
    MinionFence fence;
};

/// Stops a run, or prevents it from starting.
struct StopOrder {
    MinionIncarnation minion;
    std::string address;
    TaskName task;
    std::uint64_t run = 0;
    MinionFence fence;
};

/// Renews a minion's lease and fetches its active and ended runs.
struct LeaseOrder {
    MinionIncarnation minion;
    std::string address;
    std::optional<std::int64_t> leaseExpiresAtMs; ///< on the minion's clock
    std::uint64_t acknowledgedEnd = 0; ///< ends up to this number are committed; 0: none, or not told
    Duration wait{}; ///< how long the minion may delay the answer until a run ends
    MinionFence fence;
};

/// Limits a run to a percentage of its speed.
struct ThrottleOrder {
    MinionIncarnation minion;
    std::string address;
    TaskName task;
    std::uint64_t run = 0;
    std::uint32_t percent = 100;
    MinionFence fence;
};

enum class OrderOutcome : std::uint8_t {
    Done,
    StaleFencingToken, ///< a later leader has sent orders
    StaleRun, ///< this run or a later one of the task has already ended there
    LeaseTooShort,
    InsufficientCapacity,
    TicketRejected,
    Invalid,
    Refused, ///< the minion is unhealthy and did nothing
    IncarnationMismatch, ///< another minion or incarnation uses the address
    Unanswered, ///< the order may have been executed, or may be later
    NotSent, ///< this process lacked a connection; the minion has not seen the order
};

[[nodiscard]] std::string toString(OrderOutcome outcome);

/// \return whether the minion has answered, whatever it answered.
[[nodiscard]] constexpr bool isAnswered(OrderOutcome outcome)
{
    return outcome != OrderOutcome::Unanswered && outcome != OrderOutcome::NotSent;
}

/// The answer to a start, stop or throttle order.
struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::Unanswered;
    std::optional<std::int64_t> clockMs;
    bool mayReachLaterIncarnation = false; ///< the order was sent on a connection that was opened for it
};

struct ActiveRun {
    TaskName task;
    std::uint64_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0; ///< completed share of the work
    std::int64_t measurement = 0; ///< tail latency in ms for a serving task, else the millicores in use
    bool hasProgress = true; ///< false: percent and measurement could not be read
};

enum class RunEnd : std::uint8_t { Done, Failed, Stopped, LeaseExpired, GangMemberEnded, GangIncomplete };

struct EndedRun {
    std::uint64_t number = 0; ///< sequence number among the ends of this incarnation
    TaskName task;
    std::uint64_t run = 0;
    RunEnd end = RunEnd::Done;
    std::string checkpoint;
};

struct LeaseAnswer {
    OrderOutcome outcome = OrderOutcome::Unanswered;
    std::optional<std::int64_t> clockMs;
    std::int64_t bornUnixMs = 0; ///< 0 if not reported
    std::vector<ActiveRun> active;
    bool isActiveComplete = true; ///< false: active lacks runs that could not be read
    std::vector<EndedRun> ended;
    bool areEndsComplete = true; ///< false: ended lacks rows that could not be read
    bool hasMoreEnds = false; ///< the minion has more ends than one answer lists
};

/// A minion's report about itself.
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

/// A request for advice on which minions may run a step.
struct AdviceRequest {
    static constexpr Duration shortestLimit = 2s;
    StepName step;
    std::vector<std::string> minions;
    Duration limit = shortestLimit; ///< given up if the service has not answered by then
};

struct ApprovedMinion {
    std::string minion;
    std::string ticket;
};

} // namespace Pistachio::Jobs
