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

/// In order of precedence.
enum class Standing : std::uint8_t { Urgent, Promised, Normal, Spare };

/// What placement needs to know of a booking.
struct Work {
    BookingId booking;
    TeamId team;
    WorkKind kind = WorkKind::Batch;
    Standing standing = Standing::Normal;
    Resources resources; ///< for each task
    bool checkpoint = false; ///< may be stopped and continued elsewhere
    Duration estimatedRun{}; ///< of a task; zero for services
};

/// What is placed at once: one task, or all tasks of a gang job.
struct Unit {
    std::shared_ptr<const Work> work;
    std::vector<std::uint32_t> tasks; ///< indexes, at least one
    TimePoint readyAt{}; ///< since when it could run
    std::vector<WorkerId> avoided; ///< workers where it failed
    std::uint32_t displacements = 0; ///< of its first task

    [[nodiscard]] TaskId id() const { return {work->booking, tasks.front()}; }
    [[nodiscard]] Resources total() const { return work->resources.times(static_cast<std::int64_t>(tasks.size())); }
};

/// The order in which waiting work is tried: urgent work first, then by the time since when it waits, moved by an
/// offset for each standing and by the run time. All work ages at the same pace, so the order of two units never
/// changes and nothing is overtaken for ever.
struct Priority {
    std::uint8_t rank = 1;
    std::int64_t sortTimeMicroseconds = 0; ///< microseconds
    std::uint64_t sequence = 0; ///< makes it unique

    auto operator<=>(const Priority &) const = default;
};

/// \param unit the waiting work
/// \param packingPercent below 100, short work goes before long work of about the same age
/// \param sequence grows with each call
/// \return its place in the order.
Priority priorityOf(const Unit &unit, unsigned packingPercent, std::uint64_t sequence);

/// \return how many tasks with this need fit into the room, at most \p most.
std::int64_t fittingTaskCount(const Resources &need, const Resources &available, std::int64_t limit);

/// Work with and without accelerators competes for different workers and is reserved for separately.
enum class AcceleratorClass : std::uint8_t { Without, With };
constexpr std::size_t acceleratorClassCount = 2;

AcceleratorClass acceleratorClassOf(const Resources &resources);

} // namespace Pistachio::Placement
