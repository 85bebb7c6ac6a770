#pragma once

#include "operatorapi/httpmessage.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace Pistachio::Wire
{
class CellResult;
class ZoneResult;
} // namespace Pistachio::Wire

namespace Pistachio::Operatorapi::Internal
{

/// \param status the HTTP status
/// \param body the answer's body
/// \return a JSON answer.
Answer jsonAnswer(unsigned status, const nlohmann::json &body);

/// \param status the HTTP status
/// \param code the stable name of the failure
/// \param message what failed, with the values that matter
/// \param nextStep what the operator can do
/// \return a failure without details.
Answer failureAnswer(unsigned status, std::string_view code, std::string_view message, std::string_view nextStep);

/// \param details an object with the values that belong to the failure
/// \return a failure with details.
Answer failureAnswer(unsigned status, std::string_view code, std::string_view message, std::string_view nextStep,
                     const nlohmann::json &details);

/// \param result the refusal of a change
/// \return its answer.
Answer refusalAnswer(const Wire::CellResult &result);

/// \param result the refusal of a change of one zone
/// \param requestId the id of the request
/// \return its answer.
Answer refusalAnswer(const Wire::ZoneResult &result, std::string_view requestId);

} // namespace Pistachio::Operatorapi::Internal
