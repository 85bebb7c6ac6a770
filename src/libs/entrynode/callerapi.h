#pragma once

#include "core/identifier.h"
#include "core/result.h"
#include "core/time.h"
#include "routing/request.h"
#include "transport/message.h"

#include <string>
#include <string_view>
#include <variant>

namespace Pistachio::Entrynode
{

/// A request of a caller for a service.
struct ServiceRequest {
    ServiceId service;
    std::string target; ///< as the minion gets it
    Routing::CallerId caller;
    bool idempotent = true;
    std::string key{};
    Duration timeout{}; ///< zero when the caller names none
};

/// `GET /v1/outcomes/<key>`.
struct OutcomeRequest {
    std::string key;
};

/// Why a request is not accepted, with its 4xx status.
struct Rejection {
    int status = 400;
    std::string message;
};

using CallerRequest = std::variant<ServiceRequest, OutcomeRequest, Rejection>;

/// \param request as received on the callers' port
/// \return what the caller asks for.
CallerRequest readCallerRequest(const Transport::Request &request);

/// \return the digest that tells two requests with the same idempotency key apart.
std::string fingerprint(const Transport::Request &request);

/// \param headers of a request or response that is passed on
/// \return those meant for the other end: without hop-by-hop fields, `Host` and the fields this project defines.
Transport::Headers endToEnd(const Transport::Headers &headers);

} // namespace Pistachio::Entrynode
