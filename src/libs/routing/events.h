#pragma once

#include "core/time.h"
#include "routing/request.h"

#include <cstdint>
#include <string_view>

namespace Pistachio::Routing
{

/// How an attempt ended, as seen by the entry that sent it.
enum class AttemptEnd : std::uint8_t {
    Answered, ///< the answer arrived completely; `status` is set
    RefusedSlots, ///< the minion refused the request unrun because all its slots were in use
    RefusedLeaving, ///< the minion refused the request unrun because it is leaving
    NotWritten, ///< nothing was written, for example because the connect failed
    ConnectionLost, ///< the connection ended after something was written and before an answer
    Truncated, ///< the answer began but did not arrive completely
    TimedOut, ///< no complete answer in time
    PeerNotRun, ///< the entry that the request was forwarded to answered `NotRun`
    PeerUnknown, ///< the entry that the request was forwarded to answered `Unknown`
};

/// \return the lower-case name used in logs.
std::string_view toString(AttemptEnd end);

/// The end of an attempt, matched to its request by the attempt ID only.
struct AttemptResult {
    AttemptId attempt;
    AttemptEnd end = AttemptEnd::ConnectionLost;
    std::uint32_t status = 0;
};

/// The result of a claim at the zone leader of the key's home zone.
enum class ClaimState : std::uint8_t {
    Claimed, ///< the claim is committed for this attempt
    FinishedRun, ///< an earlier attempt ran; its stored answer is passed on
    FinishedUnknown, ///< the outcome of an earlier attempt is unknown and stays so
    InProgress, ///< another live entry holds the claim
    FingerprintMismatch, ///< the key was used for another request
    Unavailable, ///< the claim is not committed and will not be
    Lost, ///< it is unknown whether the claim is committed
};

struct ClaimResult {
    RequestId request;
    AttemptId attempt;
    ClaimState state = ClaimState::Lost;
};

} // namespace Pistachio::Routing
