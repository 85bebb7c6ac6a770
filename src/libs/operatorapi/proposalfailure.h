#pragma once

#include "core/error.h"
#include "operatorapi/httpmessage.h"

#include <string_view>

namespace Pistachio::Operatorapi
{

/// \param error why a change has no result
/// \param requestId the id of the request
/// \param leaderAddress the operator port of the leader, or empty
/// \return the answer, with the same fields as every other failure.
Answer proposalFailure(const Error &error, std::string_view requestId, std::string_view leaderAddress);

} // namespace Pistachio::Operatorapi
