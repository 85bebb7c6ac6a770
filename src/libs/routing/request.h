#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Pistachio::Routing
{

using RequestId = Identifier<struct RequestTag>;
using CallerId = Identifier<struct CallerTag>;
/// Identifies an attempt to serve a request; unique across entries and their restarts.
using AttemptId = Identifier<struct AttemptTag>;

/// The outcome of a request, as the caller is told.
enum class Outcome : std::uint8_t {
    Run,
    NotRun, ///< it has not run and will not run
    Unknown,
};

/// \return the name used in headers and logs: "run", "not-run" or "unknown".
std::string_view toString(Outcome outcome);

/// A caller's request without its content, which the router does not need.
struct Request {
    RequestId id;
    CallerId caller;
    ServiceId service;
    TimePoint deadline;
    bool idempotent = true;
    std::string key{}; ///< idempotency key; required when not idempotent
    std::string fingerprint{}; ///< digest of method, target and body; a claim checks it
    bool forwarded = false; ///< received from another entry; never forwarded again
    bool claimed = false; ///< the forwarding entry holds the claim
};

} // namespace Pistachio::Routing
