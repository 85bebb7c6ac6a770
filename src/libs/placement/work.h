#pragma once

#include "core/resources.h"
#include "core/taskid.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace Pistachio::Placement
{

enum class WorkKind : std::uint8_t { Service, Batch, Gang };

/// Precedence of work, highest first.
enum class Standing : std::uint8_t { Urgent, Promised, Normal, Spare };

/// The properties of a booking that placement needs.
struct Work {
    BookingId booking;
    TeamId team;
    WorkKind kind = WorkKind::Batch;
    Standing standing = Standing::Normal;
    Resources resources; ///< for each task
    bool checkpoint = false; ///< may be stopped and continued elsewhere
    Duration estimatedRun{}; ///< of a task; zero for services
};

/// What is placed together: one task, or all tasks of a gang job.
struct Unit {
    std::shared_ptr<const Work> work;
    std::vector<std::uint32_t> tasks; ///< indexes, at least one
    TimePoint readyAt{}; ///< since when it has been able to run
    std::vector<WorkerId> avoided; ///< workers on which it failed
    std::uint32_t displacements = 0; ///< of its first task

    [[nodiscard]] TaskId id() const { return {work->booking, tasks.front()}; }
    [[nodiscard]] Resources total() const { return work->resources.times(static_cast<std::int64_t>(tasks.size())); }
};

/// The order in which waiting units are tried, smallest first: urgent work, then by the time since when a unit is
/// ready, shifted by standing, run time and accelerators. All units age at the same rate, so the order of two units
/// never changes and none starves.
struct Priority {
    std::uint8_t rank = 1;
    std::int64_t sortTimeMicroseconds = 0;
    std::uint64_t sequence = 0; ///< makes the priority unique

    auto operator<=>(const Priority &) const = default;
};

/// \param unit the waiting work
/// \param packingPercent below 100, short work is tried before long work of about the same age
/// \param sequence increases with each call
/// \return its priority.
Priority priorityOf(const Unit &unit, unsigned packingPercent, std::uint64_t sequence);

/// \return how many tasks that need \p need each fit into \p available, at most \p limit.
std::int64_t fittingTaskCount(const Resources &need, const Resources &available, std::int64_t limit);

/// Work with and work without accelerators competes for different workers and has separate reservations.
enum class AcceleratorClass : std::uint8_t { Without, With };
constexpr std::size_t acceleratorClassCount = 2;

AcceleratorClass acceleratorClassOf(const Resources &resources);

} // namespace Pistachio::Placement
