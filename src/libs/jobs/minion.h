#pragma once

#include "core/time.h"
#include "jobs/leasebound.h"
#include "jobs/orders.h"
#include "jobs/renewalhistory.h"
#include "jobs/speedestimate.h"
#include "jobs/stopreason.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pistachio::Jobs
{

/// Amounts of processor, memory and accelerators.
struct ResourceAmounts {
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    ResourceAmounts &operator+=(const ResourceAmounts &other);
    ResourceAmounts &operator-=(const ResourceAmounts &other);
    bool operator==(const ResourceAmounts &) const = default;
    [[nodiscard]] bool fitsIn(const ResourceAmounts &available) const;
};

enum class RunPhase : std::uint8_t {
    Proposed, ///< the assignment is not committed yet
    Adopted, ///< assigned by an earlier leader; not yet confirmed by the minion
    Starting, ///< ordered, not confirmed
    Running,
    Stopping, ///< stop ordered, end not reported
    Ending, ///< its end is proposed
};

/// The state of a run at a minion as known to the leader.
struct Run {
    std::uint64_t run = 0;
    ResourceAmounts reserved; ///< subtracted from the minion's free capacity
    std::int64_t spareMilliCores = 0; ///< used but not reserved
    RunPhase phase = RunPhase::Proposed;
    TimePoint phaseSince{};
    TimePoint readyAt{}; ///< when its task began to wait; zero if an earlier leader assigned it
    TimePoint plannedAt{}; ///< when the assignment was proposed
    TimePoint orderedAt{}; ///< when the assignment was committed
    TimePoint lastOrderAt{};
    bool orderOutstanding = false;
    std::uint32_t attempts = 0; ///< starts that the minion may have seen
    std::uint32_t unansweredStarts = 0; ///< those among them that may yet be carried out
    std::uint32_t failures = 0; ///< orders of this phase in a row that were not confirmed
    TimePoint retryAt{}; ///< of an order that was not confirmed
    TimePoint unansweredAt{}; ///< when the last order was given up without an answer
    bool stopConfirmed = false;
    StopReason stopReason = StopReason::None;
    bool isOrphan = false; ///< not the task's current run according to the store
    bool isOfEarlierIncarnation = false; ///< assigned to an earlier incarnation; this one may have got its start
    bool isUnlisted = false; ///< was stopped because the minion's lists lack it
    bool isConfirmed = false; ///< works in the incarnation that it is assigned to, and in no later one
    bool awaitsRecord = false; ///< its confirmation is to be recorded, see Task::isRunConfirmed
    std::string checkpoint;
    std::uint32_t percent = 0;
    TimePoint listedAt{}; ///< when the minion last listed it as active
    TimePoint progressAt{}; ///< when percent was last recorded
    TimePoint startedAt{};
    Duration expected{}; ///< predicted run time
    std::optional<double> speed; ///< progress between the last two samples relative to the expected progress
    std::int64_t measurement = 0;
    std::uint32_t throttlePercent = 100;
};

/// The state of one incarnation of a minion as known to the leader.
struct Minion {
    MinionReport report;
    std::size_t slot = 0; ///< distinguishes it from the other minions of its fleet; small
    std::map<TaskName, Run> runs; ///< changed through add() and remove() only

    MinionFence fence; ///< of the orders to this incarnation
    bool leaseConfirmed
        = false; ///< has answered a lease renewal of this leader and so rejects orders of earlier leaders
    bool renewalOutstanding = false;
    TimePoint renewalSentAt{};
    TimePoint nextRenewal{};
    std::uint32_t renewalFailures = 0; ///< in a row
    RenewalHistory renewals;
    bool endsProposed = false; ///< the next renewal waits until they are committed
    std::uint64_t acknowledgedEnd = 0;
    std::uint64_t seenEnd = 0;

    TimePoint lastContactAt{}; ///< last answered lease renewal
    TimePoint lastAnswerAt{}; ///< to any order
    TimePoint lastUnansweredAt{}; ///< when an order last timed out; reset by the next answer
    LeaseBound leaseBound;
    std::optional<std::int64_t> clockMs; ///< reading of the minion's clock, taken at clockAt or earlier
    TimePoint clockAt{};

    TimePoint refusesUntil{}; ///< no new tasks are placed here before: it refused a start or didn't answer one
    TimePoint avoidUntil{}; ///< failing or slow: only long-running tasks are placed here before, if nowhere else fits
    std::uint32_t consecutiveSlowFindings = 0; ///< reset when the minion is no longer slow
    std::uint32_t consecutiveFailures = 0; ///< each of another job than the one before
    std::string lastFailedJob;
    SpeedEstimate speed; ///< as MinionSpeeds last estimated it
    TimePoint lastReportAt{};
    bool removalProposed = false;
    bool isLeaving = false; ///< has deregistered
    bool isReplaced = false; ///< another minion reports under its address
    bool hadUsualLease = false; ///< an earlier leader has recorded that no lease here is longer than the usual one

    /// Adds a run, replacing an earlier one of the task.
    Run &add(const TaskName &task, const Run &run);
    void remove(const TaskName &task);

    [[nodiscard]] ResourceAmounts capacity() const;
    [[nodiscard]] ResourceAmounts freeCapacity() const;
    /// \return the cores that runs use without a reservation.
    [[nodiscard]] std::int64_t spareMilliCoresUsed() const { return spareMilliCoresUsed_; }
    [[nodiscard]] std::uint32_t taskCount(const StepName &step) const;
    [[nodiscard]] bool hasLabel(const std::string &label) const;
    /// \return when a run can't work here any more, whatever incarnation got its start.
    [[nodiscard]] TimePoint leaseEndOf(const Run &run) const;

    /// Grants no more leases and starts until this incarnation answers a renewal.
    void suspend();
    /// Extends the lease to \p lease after the last answer. Unanswered orders don't prolong it.
    /// \return the expiry on the minion's clock, or nothing if its clock is not known yet.
    std::optional<std::int64_t> extendLease(Duration lease);
    /// \return the service and the first label, which names the kind of machine.
    [[nodiscard]] std::string kind() const;
    /// \return the last label, which names the rack; empty if there are no labels.
    [[nodiscard]] std::string rack() const;
    void recordClock(TimePoint now, std::int64_t clock);

private:
    ResourceAmounts used_; ///< sum over all runs
    std::int64_t spareMilliCoresUsed_ = 0;
};

} // namespace Pistachio::Jobs
