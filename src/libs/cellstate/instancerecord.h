#pragma once

#include "core/identifier.h"

#include <string>

namespace Pistachio::Cellstate
{

/// A control instance that an operator added. The control process brings the groups' membership in line with it.
struct InstanceRecord {
    InstanceId id;
    ZoneId zone;
    std::string internalAddress;
    std::string operatorAddress;
    std::string workerAddress;
    InstanceId replaces; ///< empty when it replaces none
    bool retired = false; ///< replaced by another one; its id is never used again

    bool operator==(const InstanceRecord &) const = default;
};

} // namespace Pistachio::Cellstate
