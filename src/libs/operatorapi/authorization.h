#pragma once

#include "operatorapi/httpmessage.h"

#include <string_view>

namespace Pistachio::Operatorapi
{

/// Compares in a time that depends only on the length of \p presented, so that a token can't be guessed byte by byte.
/// \param presented what the client sent
/// \param expected the secret
/// \return whether they are equal.
bool equalInConstantTime(std::string_view presented, std::string_view expected);

/// \param headers the headers of a request
/// \param token the operators' token; an empty one authorizes nobody
/// \return whether the request has the header "Authorization: Bearer <token>".
bool isAuthorized(const Headers &headers, std::string_view token);

/// \return the answer to a request without the right token.
Answer unauthorizedAnswer();

} // namespace Pistachio::Operatorapi
