#pragma once

#include "core/resources.h"
#include "core/result.h"
#include "core/taskid.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Pistachio::Wire
{
class AssignTasks;
class ForgetBookings;
class StartJob;
class TaskEnd;
class ZoneSnapshot;
} // namespace Pistachio::Wire

namespace Pistachio::ZoneState
{

/// A task that occupies resources of a worker until its end is committed.
struct TaskAssignment {
    TaskId task;
    std::uint64_t incarnation = 0;
    WorkerId worker;
    Resources resources;
    std::int64_t assignedUnixMs = 0;
    bool gang = false; ///< started by StartJob
    bool started = false; ///< false while a gang task is only prepared
};

enum class EndReason : std::uint8_t { None, Completed, Failed, Stopped, Lost, NotStarted };

/// What is known of a task's earlier incarnations.
struct TaskPast {
    std::uint64_t incarnation = 0; ///< the last one assigned
    EndReason reason = EndReason::None; ///< of the last end
    std::string detail;
    WorkerId worker; ///< of the last end
    std::int64_t endedUnixMs = 0;
    bool completed = false;
    std::uint32_t displacements = 0;
    std::uint32_t failures = 0;
    std::vector<std::string> failedWorkers; ///< distinct
};

/// The tasks of one availability zone: a task has at most one assignment, and a worker is never assigned more than the
/// capacity recorded with the assignment.
class TaskTable
{
public:
    using Assignments = std::map<std::uint32_t, TaskAssignment>;
    using Pasts = std::map<std::uint32_t, TaskPast>;

    /// Takes all assignments or none.
    /// \param command the assignments
    /// \param unixMs when they were proposed
    Result<void> assign(const Wire::AssignTasks &command, std::int64_t unixMs);

    /// Starts the prepared tasks of a gang job.
    /// \param command the booking and the incarnations that must be prepared
    Result<void> start(const Wire::StartJob &command);

    /// Frees the resources of an assignment. An end of another incarnation changes nothing.
    /// \param end the end as reported by the worker or decided on expiry of its lease
    /// \param unixMs when it was proposed
    /// \return whether the assignment existed.
    bool end(const Wire::TaskEnd &end, std::int64_t unixMs);

    /// Drops the history of bookings without assignments whose last end is older than the retention.
    /// \param command the bookings
    /// \param unixMs when it was proposed
    void forget(const Wire::ForgetBookings &command, std::int64_t unixMs);

    /// \param task the task
    /// \return its assignment, or null.
    [[nodiscard]] const TaskAssignment *assignment(const TaskId &task) const;

    /// \param task the task
    /// \return its history, or null when it was never assigned.
    [[nodiscard]] const TaskPast *past(const TaskId &task) const;

    /// \param booking the booking
    /// \return its assigned tasks by index.
    [[nodiscard]] const Assignments &assignmentsOf(const BookingId &booking) const;

    /// \return all assignments by booking and index.
    [[nodiscard]] const std::unordered_map<BookingId, Assignments> &assignments() const { return assignments_; }

    /// \return the histories by booking and index.
    [[nodiscard]] const std::unordered_map<BookingId, Pasts> &pasts() const { return pasts_; }

    /// \param worker the worker
    /// \return the sum of its assignments.
    [[nodiscard]] Resources allocated(const WorkerId &worker) const;

    /// \return the highest incarnation ever assigned in the zone.
    [[nodiscard]] std::uint64_t highestIncarnation() const { return highestIncarnation_; }

    void save(Wire::ZoneSnapshot &snapshot) const;
    Result<void> load(const Wire::ZoneSnapshot &snapshot);

private:
    Result<void> check(const Wire::AssignTasks &command) const;

    std::unordered_map<BookingId, Assignments> assignments_;
    std::unordered_map<BookingId, Pasts> pasts_;
    std::unordered_map<WorkerId, Resources> allocated_;
    std::uint64_t highestIncarnation_ = 0;
    std::uint64_t forgottenIncarnation_ = 0;
};

} // namespace Pistachio::ZoneState
