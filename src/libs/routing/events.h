#pragma once

#include "core/time.h"
#include "routing/request.h"

#include <cstdint>
#include <string_view>

namespace Pistachio::Routing
{

/// How an attempt ended, as the network saw it.
enum class AttemptEnd : std::uint8_t {
    Answered, ///< complete answer, `status` is set
    RefusedSlots, ///< the minion refused before running: all slots in use
    RefusedLeaving, ///< the minion refused before running: it leaves
    NotWritten, ///< nothing was written, such as after a failed connect
    ConnectionLost, ///< the connection ended after something was written and before an answer
    Truncated, ///< the answer began but did not arrive completely
    TimedOut, ///< no complete answer in time
    PeerNotRun, ///< an entry of another zone answered `not run`
    PeerUnknown, ///< an entry of another zone answered `unknown`
};

/// \return the lower-case name used in logs.
std::string_view toString(AttemptEnd end);

/// The end of one attempt, matched to its request by the attempt's identity only.
struct AttemptResult {
    AttemptId attempt;
    AttemptEnd end = AttemptEnd::ConnectionLost;
    std::uint32_t status = 0;
};

/// What the zone leader of the key's home zone said about a claim.
enum class ClaimState : std::uint8_t {
    Claimed, ///< committed for this attempt
    FinishedRun, ///< an earlier attempt ran; its stored answer is passed on
    FinishedUnknown, ///< an earlier attempt is in doubt for ever
    InProgress, ///< another live entry holds the claim
    FingerprintMismatch, ///< the key was used for another request
    Unavailable, ///< not committed and will not be
    Lost, ///< it can't be told whether the claim is committed
};

struct ClaimResult {
    RequestId request;
    AttemptId attempt;
    ClaimState state = ClaimState::Lost;
};

} // namespace Pistachio::Routing
