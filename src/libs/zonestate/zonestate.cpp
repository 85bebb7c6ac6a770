#include "zonestate/zonestate.h"

#include <algorithm>
#include <zone.pb.h>

namespace Pistachio::ZoneState
{

namespace
{

Wire::ZoneResult accepted(std::string message = {})
{
    Wire::ZoneResult answer;
    answer.set_code(Wire::ZONE_RESULT_ACCEPTED);
    answer.set_message(std::move(message));
    return answer;
}

Wire::ZoneResult refused(std::string message)
{
    Wire::ZoneResult answer;
    answer.set_code(Wire::ZONE_RESULT_REFUSED);
    answer.set_message(std::move(message));
    return answer;
}

Wire::ZoneResult answerOf(const Result<void> &outcome)
{
    return outcome.has_value() ? accepted() : refused(outcome.error().message);
}

} // namespace

Wire::ZoneResult ZoneState::applyTaskCommand(const Wire::ZoneCommand &command)
{
    const std::int64_t unixMs = command.proposed_unix_ms();
    if (command.has_assign_tasks()) {
        for (const Wire::Assignment &assignment : command.assign_tasks().assignments()) {
            if (isDraining(WorkerId(assignment.worker())))
                return refused("worker " + assignment.worker() + " is draining");
        }
        return answerOf(tasks_.assign(command.assign_tasks(), unixMs));
    }
    if (command.has_start_job())
        return answerOf(tasks_.start(command.start_job()));
    if (command.has_end_tasks()) {
        std::size_t count = 0;
        for (const Wire::TaskEnd &end : command.end_tasks().ends())
            count += tasks_.end(end, unixMs) ? 1 : 0;
        return accepted(std::to_string(count) + " tasks ended");
    }
    tasks_.forget(command.forget_bookings(), unixMs);
    return accepted();
}

Wire::ZoneResult ZoneState::apply(const Wire::ZoneCommand &command)
{
    const std::int64_t unixMs = command.proposed_unix_ms();
    switch (command.change_case()) {
    case Wire::ZoneCommand::kAssignTasks:
    case Wire::ZoneCommand::kStartJob:
    case Wire::ZoneCommand::kEndTasks:
    case Wire::ZoneCommand::kForgetBookings:
        return applyTaskCommand(command);
    case Wire::ZoneCommand::kSetDrain: {
        const WorkerId worker(command.set_drain().worker());
        if (worker.isEmpty())
            return refused("a drain needs a worker");
        if (command.set_drain().draining())
            draining_.insert(worker);
        else
            draining_.erase(worker);
        return accepted();
    }
    case Wire::ZoneCommand::kConfigurationFloor:
        return raiseFloor(command.configuration_floor());
    case Wire::ZoneCommand::kClaimRequest:
        return requests_.claim(command.claim_request(), unixMs);
    case Wire::ZoneCommand::kFinishRequest:
        return requests_.finish(command.finish_request(), unixMs);
    case Wire::ZoneCommand::kExpireRequests:
        return accepted(std::to_string(requests_.expire(command.expire_requests().before_unix_ms(), unixMs))
                        + " requests expired");
    case Wire::ZoneCommand::kEntriesSilent: {
        std::size_t count = 0;
        for (const std::string &entry : command.entries_silent().entries())
            count += requests_.entrySilent(entry, unixMs);
        return accepted(std::to_string(count) + " requests became unknown");
    }
    case Wire::ZoneCommand::CHANGE_NOT_SET:
        break;
    }
    // A newer version's command is refused by all members of this version alike.
    return refused("unknown command");
}

Wire::ZoneResult ZoneState::raiseFloor(const Wire::ConfigurationFloor &floor)
{
    // A proposal of an earlier leader may arrive late; neither part of the floor ever falls.
    if (floor.version() < configurationFloor_ && floor.bookings_revision() <= bookingsFloor_)
        return refused("the configuration floor is " + std::to_string(configurationFloor_));
    configurationFloor_ = std::max<std::uint64_t>(configurationFloor_, floor.version());
    bookingsFloor_ = std::max<std::uint64_t>(bookingsFloor_, floor.bookings_revision());
    return accepted();
}

std::string ZoneState::snapshot() const
{
    Wire::ZoneSnapshot snapshot;
    tasks_.save(snapshot);
    requests_.save(snapshot);
    snapshot.set_configuration_floor(configurationFloor_);
    snapshot.set_bookings_floor(bookingsFloor_);
    for (const WorkerId &worker : draining_)
        snapshot.add_draining_workers(worker.value());
    return snapshot.SerializeAsString();
}

Result<void> ZoneState::restore(std::string_view snapshot)
{
    Wire::ZoneSnapshot message;
    if (!message.ParseFromArray(snapshot.data(), static_cast<int>(snapshot.size())))
        return failure(ErrorCode::Corrupt, "the zone snapshot can't be parsed");
    ZoneState loaded;
    BOOST_OUTCOME_TRYV(loaded.tasks_.load(message));
    BOOST_OUTCOME_TRYV(loaded.requests_.load(message));
    loaded.configurationFloor_ = message.configuration_floor();
    loaded.bookingsFloor_ = message.bookings_floor();
    for (const std::string &worker : message.draining_workers())
        loaded.draining_.emplace(worker);
    *this = std::move(loaded);
    return success();
}

} // namespace Pistachio::ZoneState
