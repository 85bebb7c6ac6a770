#include "cellstate/instancelist.h"

#include "sheet/identifierfault.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace Pistachio::Cellstate::Internal
{

namespace
{

// Only the shape "<address>:<port>"; the process that opens the connection parses the address.
bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    return error == std::errc() && end == text.data() + text.size() && port != 0;
}

Result<void> checkFields(const InstanceRecord &instance, std::span<const ZoneId> zones)
{
    if (const std::string fault = Sheet::identifierFault(instance.id.value()); !fault.empty())
        return failure(ErrorCode::InvalidArgument, "the instance's id " + fault);
    if (std::ranges::find(zones, instance.zone) == zones.end())
        return failure(ErrorCode::InvalidArgument, "zone '" + instance.zone.value() + "' is not configured");
    for (const auto *address : {&instance.internalAddress, &instance.operatorAddress, &instance.workerAddress}) {
        if (!isAddress(*address))
            return failure(ErrorCode::InvalidArgument, "'" + *address + "' is not an address <ip>:<port>");
    }
    if (instance.replaces == instance.id)
        return failure(ErrorCode::InvalidArgument, "an instance can't replace itself; a replacement needs a new id");
    return success();
}

} // namespace

Result<void> InstanceList::add(const InstanceRecord &instance, std::span<const ZoneId> zones)
{
    if (auto checked = checkFields(instance, zones); checked.has_error())
        return checked;
    if (const auto found = records_.find(instance.id); found != records_.end()) {
        if (found->second == instance)
            return success();
        return failure(ErrorCode::Conflict, "instance '" + instance.id.value() + "' was added before; use a new id");
    }
    if (!instance.replaces.isEmpty()) {
        // An instance of the settings has no record until it is replaced.
        InstanceRecord &replaced = records_[instance.replaces];
        if (replaced.retired)
            return failure(ErrorCode::Conflict, "instance '" + instance.replaces.value() + "' was replaced before");
        replaced.id = instance.replaces;
        replaced.retired = true;
    }
    records_.emplace(instance.id, instance);
    return success();
}

} // namespace Pistachio::Cellstate::Internal
