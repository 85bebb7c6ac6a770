#pragma once

#include "core/result.h"

#include <nlohmann/json_fwd.hpp>

namespace Pistachio::Wire
{
class Configuration;
}

namespace Pistachio::Operatorapi::Internal
{

/// \param configuration the configuration in force
/// \return the JSON object that operators see and edit.
nlohmann::json toJson(const Wire::Configuration &configuration);

/// \param body an object with the keys zones, quotas, services and packing_weight_percent
/// \return the configuration, or InvalidArgument naming the value.
Result<Wire::Configuration> configurationFrom(const nlohmann::json &body);

} // namespace Pistachio::Operatorapi::Internal
