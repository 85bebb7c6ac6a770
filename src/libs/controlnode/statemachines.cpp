#include "controlnode/statemachines.h"

#include <cell.pb.h>
#include <zone.pb.h>

#include <utility>

namespace Pistachio::Controlnode
{

std::string CellMachine::apply(Replication::LogIndex /*index*/, std::string_view command)
{
    Wire::CellCommand parsed;
    Wire::CellResult result;
    if (parsed.ParseFromArray(command.data(), static_cast<int>(command.size()))) {
        result = state_.apply(parsed);
    } else {
        result.set_code(Wire::CELL_RESULT_INVALID);
        result.set_message("the log entry is no cell command");
    }
    return result.SerializeAsString();
}

std::string ZoneMachine::apply(Replication::LogIndex /*index*/, std::string_view command)
{
    Wire::ZoneCommand parsed;
    Wire::ZoneResult result;
    if (!parsed.ParseFromArray(command.data(), static_cast<int>(command.size()))) {
        result.set_code(Wire::ZONE_RESULT_REFUSED);
        result.set_message("the log entry is no zone command");
        return result.SerializeAsString();
    }
    result = state_.apply(parsed);
    if (applied_)
        applied_(parsed, result);
    return result.SerializeAsString();
}

Result<void> ZoneMachine::restore(std::string_view state)
{
    BOOST_OUTCOME_TRYV(state_.restore(state));
    if (restored_)
        restored_();
    return success();
}

void ZoneMachine::setObservers(Applied applied, Restored restored)
{
    applied_ = std::move(applied);
    restored_ = std::move(restored);
}

} // namespace Pistachio::Controlnode
