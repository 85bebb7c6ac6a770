#pragma once

#include "core/resources.h"
#include "core/taskid.h"
#include "core/time.h"
#include "placement/runestimates.h"
#include "placement/work.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Pistachio::Scheduler
{

/// A booking of this zone, as the cell state holds it.
struct BookingSpec {
    BookingId id;
    TeamId team;
    Placement::WorkKind kind = Placement::WorkKind::Batch;
    Placement::Standing standing = Placement::Standing::Normal;
    std::uint32_t tasks = 0;
    Resources resources;
    std::int64_t startUnixMs = 0; ///< 0: at once
    std::int64_t endUnixMs = 0; ///< 0: no end
    Duration declaredRun{};
    Duration grace{};
    bool checkpoint = false;
    std::string command;

    bool operator==(const BookingSpec &) const = default;
};

enum class TaskPhase : std::uint8_t {
    Idle, ///< completed, on hold, before the start date or past the end
    Delayed, ///< backs off before it is queued again
    Waiting, ///< in the planner's queue
    Proposed, ///< its assignment is proposed, not committed
    Assigned,
};

/// Why a task is told to stop.
enum class StopCause : std::uint8_t {
    None,
    NoLongerBooked, ///< its booking ended, was cancelled or was reduced
    Displaced, ///< by more important work
    Moved, ///< its worker is leaving, is drained or shrank
    GangMemberEnded, ///< a gang does not run without one of its tasks
    MemoryExceeded
};

/// Whether an assignment was sent to its worker.
enum class Delivery : std::uint8_t {
    Unknown, ///< made by a previous leader, and no full report has arrived yet
    NotSent,
    Sent,
};

/// The leader's state of a task.
struct TaskEntry {
    TaskPhase phase = TaskPhase::Idle;
    StopCause stopCause = StopCause::None;
    Delivery delivery = Delivery::NotSent;
    bool prepared = false;
    bool running = false;
    bool startSent = false;
    bool stopSent = false;
    bool endProposed = false;
    bool throttleSent = false;
    bool ranPastEarlyFailure = false; ///< ran longer than Placement::WorkerHealth::earlyFailure
    std::uint32_t throttlePercent = 100;
    std::uint32_t slot = 0; ///< index of its worker in Placement::WorkerIndex
    std::uint64_t incarnation = 0; ///< number of its assignment, higher each time the task is assigned
    TimePoint readyAt{};
    TimePoint assignedAt{};
    std::optional<TimePoint> runningSince;
    std::optional<TimePoint> aboveMemorySince;
    TimePoint stopDeadline{};
    Duration grace{};
    std::shared_ptr<const Placement::Work> work; ///< its requirements when it was placed
    Placement::UsagePeak usage;

    [[nodiscard]] bool isPlaced() const { return phase == TaskPhase::Proposed || phase == TaskPhase::Assigned; }
};

/// A booking with its tasks.
struct BookingEntry {
    BookingSpec spec;
    bool active = false; ///< after its start date, before its end, and in the sheet
    bool removedFromSheet = false; ///< erased once none of its tasks is placed
    bool startProposed = false; ///< the StartJob command of a gang is proposed
    bool held = false; ///< shown as failing after failures on several workers
    std::string heldReason;
    std::vector<TaskEntry> tasks;

    /// \return whether its tasks wait for a change of the booking. Services have to run, so they never do.
    [[nodiscard]] bool isOnHold() const { return held && spec.kind != Placement::WorkKind::Service; }
};

} // namespace Pistachio::Scheduler
