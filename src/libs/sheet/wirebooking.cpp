#include "sheet/wirebooking.h"

#include "common.pb.h"
#include "sheet/bookinglimits.h"
#include "sheet/columns.h"
#include "sheet/identifierfault.h"

namespace Pistachio::Sheet
{

namespace
{

Wire::WorkKind wireKind(WorkKind kind)
{
    switch (kind) {
    case WorkKind::Service:
        return Wire::WORK_KIND_SERVICE;
    case WorkKind::Batch:
        return Wire::WORK_KIND_BATCH;
    case WorkKind::Together:
        return Wire::WORK_KIND_TOGETHER;
    }
    return Wire::WORK_KIND_UNSPECIFIED;
}

Wire::Standing wireStanding(Standing standing)
{
    switch (standing) {
    case Standing::Urgent:
        return Wire::STANDING_URGENT;
    case Standing::Promised:
        return Wire::STANDING_PROMISED;
    case Standing::Normal:
        return Wire::STANDING_NORMAL;
    case Standing::Spare:
        return Wire::STANDING_SPARE;
    }
    return Wire::STANDING_UNSPECIFIED;
}

bool readKind(Wire::WorkKind message, WorkKind &kind)
{
    for (const WorkKind candidate : {WorkKind::Service, WorkKind::Batch, WorkKind::Together}) {
        if (wireKind(candidate) == message) {
            kind = candidate;
            return true;
        }
    }
    return false;
}

bool readStanding(Wire::Standing message, Standing &standing)
{
    for (const Standing candidate : {Standing::Urgent, Standing::Promised, Standing::Normal, Standing::Spare}) {
        if (wireStanding(candidate) == message) {
            standing = candidate;
            return true;
        }
    }
    return false;
}

bool isWithin(std::int64_t value, std::int64_t least, std::int64_t most)
{
    return value >= least && value <= most;
}

// The first field that no cell of a sheet could give, or an empty view.
std::string_view fieldOutOfRange(const Booking &booking)
{
    if (!identifierFault(booking.id.value()).empty())
        return "booking";
    if (!identifierFault(booking.team.value()).empty())
        return "team";
    if (!booking.zone.isEmpty() && !identifierFault(booking.zone.value()).empty())
        return "zone";
    if (!isWithin(booking.tasks, 1, maximumTasks))
        return "tasks";
    if (!isWithin(booking.resources.milliCores, 1, maximumMilliCores))
        return "cores";
    if (!isWithin(booking.resources.memoryBytes, 1, maximumMemoryMebibytes * bytesPerMebibyte))
        return "memory_mb";
    if (!isWithin(booking.resources.accelerators, 0, maximumAccelerators))
        return "accelerators";
    if (!isWithin(booking.runSeconds, 0, maximumRunSeconds))
        return "run_seconds";
    if (!isWithin(booking.graceSeconds, 0, maximumGraceSeconds))
        return "grace_seconds";
    if (booking.startUnixS < 0 || booking.endUnixS < 0)
        return booking.startUnixS < 0 ? "start" : "end";
    if (booking.command.empty() || booking.command.size() > maximumCommandBytes)
        return "command";
    return Internal::contradiction(booking).first;
}

} // namespace

void toWire(const Resources &resources, Wire::Resources &message)
{
    message.set_milli_cores(resources.milliCores);
    message.set_memory_bytes(resources.memoryBytes);
    message.set_accelerators(resources.accelerators);
}

Resources fromWire(const Wire::Resources &message)
{
    return {message.milli_cores(), message.memory_bytes(), message.accelerators()};
}

void toWire(const Booking &booking, Wire::Booking &message)
{
    message.set_id(booking.id.value());
    message.set_team(booking.team.value());
    message.set_kind(wireKind(booking.kind));
    message.set_tasks(booking.tasks);
    toWire(booking.resources, *message.mutable_resources());
    message.set_start_unix_s(booking.startUnixS);
    message.set_end_unix_s(booking.endUnixS);
    message.set_standing(wireStanding(booking.standing));
    message.set_zone(booking.zone.value());
    message.set_run_seconds(booking.runSeconds);
    message.set_checkpoint(booking.checkpoint);
    message.set_grace_seconds(booking.graceSeconds);
    message.set_command(booking.command);
}

Result<Booking> fromWire(const Wire::Booking &message)
{
    Booking booking;
    booking.id = BookingId(message.id());
    booking.team = TeamId(message.team());
    booking.tasks = message.tasks();
    booking.resources = fromWire(message.resources());
    booking.startUnixS = message.start_unix_s();
    booking.endUnixS = message.end_unix_s();
    booking.zone = ZoneId(message.zone());
    booking.runSeconds = message.run_seconds();
    booking.checkpoint = message.checkpoint();
    booking.graceSeconds = message.grace_seconds();
    booking.command = message.command();
    std::string_view field = fieldOutOfRange(booking);
    if (!readKind(message.kind(), booking.kind))
        field = "kind";
    if (!readStanding(message.standing(), booking.standing))
        field = "standing";
    if (!field.empty())
        return failure(ErrorCode::InvalidArgument,
                       "booking '" + message.id() + "': " + std::string(field) + " is out of range");
    return booking;
}

} // namespace Pistachio::Sheet
