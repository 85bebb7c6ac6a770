#pragma once

#include "core/time.h"
#include "jobs/orders.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pistachio::Jobs
{

/// Processors, memory and accelerators.
struct ResourceAmounts {
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    ResourceAmounts &operator+=(const ResourceAmounts &other);
    ResourceAmounts &operator-=(const ResourceAmounts &other);
    [[nodiscard]] bool fitsIn(const ResourceAmounts &room) const;
};

enum class RunPhase : std::uint8_t {
    Proposed, ///< the assignment is not committed yet
    Adopted, ///< assigned by an earlier leader; the minion has not been asked yet
    Starting, ///< ordered, not confirmed
    Running,
    Stopping, ///< ordered to stop
    Ending, ///< its end is proposed
};

/// A run as the leader believes it to be at a minion.
struct Run {
    std::uint64_t run = 0;
    ResourceAmounts reserved; ///< counts against the minion's capacity
    std::int64_t spareMilliCores = 0; ///< uses, without counting
    RunPhase phase = RunPhase::Proposed;
    TimePoint phaseSince{};
    TimePoint lastOrder{};
    bool orderOutstanding = false;
    std::uint32_t attempts = 0;
    bool stopConfirmed = false;
    bool isOrphan = false; ///< the book doesn't know it as the task's run
    std::string checkpoint;
    std::uint32_t percent = 0;
    TimePoint progressAt{}; ///< of the last change of percent
    TimePoint startedAt{};
    Duration expected{}; ///< run time from its start to its end
    std::optional<double> speed; ///< between the last two looks, in parts of what is expected
    std::int64_t measure = 0;
    std::uint32_t pace = 100;
};

/// What the leader knows of one life of a minion.
struct Minion {
    MinionReport report;
    std::map<TaskName, Run> runs; ///< changed through add() and remove() only

    bool isHeld = false; ///< has answered a hold of this leader, so earlier leaders' orders are void there
    bool holdOutstanding = false;
    TimePoint holdSent{};
    TimePoint nextHold{};
    bool endsProposed = false; ///< the next hold waits until they are committed
    std::uint64_t acknowledgedEnd = 0;
    std::uint64_t seenEnd = 0;

    TimePoint lastContact{}; ///< last answered hold
    TimePoint unansweredAt{}; ///< when an order was given up last, without an answer since; none: zero
    TimePoint leaseGone{}; ///< no lease given so far lasts longer than this
    std::optional<std::int64_t> clockMs; ///< the minion's clock at clockAt or earlier
    TimePoint clockAt{};

    TimePoint avoidUntil{}; ///< nothing new is placed here before
    std::uint32_t slowInRow = 0; ///< times that it was found slow since it was last found not to be
    std::uint32_t failuresInRow = 0; ///< of different jobs
    std::string lastFailedJob;
    TimePoint lastHeard{}; ///< last report
    bool isForgotten = false; ///< its removal is proposed

    /// Adds a run, in place of an earlier one of the task.
    Run &add(const TaskName &task, const Run &run);
    void remove(const TaskName &task);

    [[nodiscard]] ResourceAmounts capacity() const;
    [[nodiscard]] ResourceAmounts room() const;
    /// \return the cores that runs use without counting against the capacity.
    [[nodiscard]] std::int64_t spareUsed() const { return spareUsed_; }
    [[nodiscard]] std::uint32_t tasksOf(const StepName &step) const;
    [[nodiscard]] bool hasLabel(const std::string &label) const;

    /// Extends the lease by \p lease from the last answer on, so that orders without an answer don't prolong it.
    /// \return the expiry on the minion's clock, or nothing before its clock is known.
    std::optional<std::int64_t> extendLease(Duration lease);
    /// \return the service and the label that names the kind; minions of one kind are alike fast.
    [[nodiscard]] std::string kind() const;
    void clockRead(TimePoint now, std::int64_t clock);

private:
    ResourceAmounts used_; ///< the sum over the runs
    std::int64_t spareUsed_ = 0;
};

/// How much slower than real time a minion's clock may run.
constexpr double slowestClock = 0.98;

} // namespace Pistachio::Jobs
