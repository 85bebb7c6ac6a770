#pragma once

#include "routing/request.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Pistachio::Routing
{

/// Sends the request to a minion.
struct SendCommand {
    RequestId request;
    AttemptId attempt;
    MinionId minion;
    std::string address;
};

/// Forwards the request to another entry.
struct ForwardCommand {
    RequestId request;
    AttemptId attempt;
    InstanceId entry;
    Duration timeout{};
};

/// Stops waiting for an attempt and closes its connection.
struct CancelCommand {
    AttemptId attempt;
};

/// Claims the idempotency key: no other non-idempotent request with the key runs while the claim is held. The leader of
/// the key's home zone commits the claim.
struct ClaimCommand {
    RequestId request;
    AttemptId attempt;
    std::string key;
    std::string fingerprint;
    Duration timeout{};
};

/// Finishes a claim. With outcome `Run`, the answer of the attempt `answeredBy` is stored.
struct FinishCommand {
    RequestId request;
    AttemptId attempt; ///< the one that holds the claim
    std::string key;
    Outcome outcome = Outcome::Unknown;
    AttemptId answeredBy;
};

/// Where the answer to a request comes from, or why there is none from a minion.
enum class AnswerReason : std::uint8_t {
    MinionAnswer,
    StoredAnswer, ///< an earlier request with the key finished with outcome `Run` or `Unknown`
    QueueFull, ///< no room for the request, or it was evicted to make room for another caller's
    WaitTooLong, ///< too little time before the deadline, or the wait is too long for a forwarded request
    Expired, ///< the deadline passed or the caller closed its connection
    NoMinion,
    Draining,
    RetriesExhausted, ///< the last attempt did not run and could not be retried
    InDoubt, ///< the last attempt may have run and was not retried
    ClaimUnavailable, ///< the claim was not committed, or it is unknown whether it was
    InProgress, ///< another request holds the claim of the key
    FingerprintMismatch, ///< the key was used for another request
    MissingKey, ///< the request is not idempotent and has no key
};

/// \return the lower-case name used in logs and answers.
std::string_view toString(AnswerReason reason);

/// Answers the caller. Issued exactly once for each request.
struct AnswerCommand {
    RequestId request;
    Outcome outcome = Outcome::Unknown;
    AnswerReason reason = AnswerReason::MinionAnswer;
    AttemptId answeredBy; ///< attempt whose answer is passed on, with MinionAnswer
    Duration retryAfter{}; ///< with outcome `NotRun`: time after which the caller may try again
};

/// A routing decision for the log.
struct DecisionRecord {
    RequestId request;
    CallerId caller;
    ServiceId service;
    AttemptId attempt;
    std::uint32_t attemptNumber = 0;
    std::string chosen; ///< minion or entry; empty when none was chosen
    std::vector<std::string> candidates;
    std::string reason;
    std::string outcome; ///< empty while undecided
};

using Command = std::variant<SendCommand, ForwardCommand, CancelCommand, ClaimCommand, FinishCommand, AnswerCommand,
                             DecisionRecord>;

} // namespace Pistachio::Routing
