#pragma once

#include "routing/request.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Pistachio::Routing
{

/// Send the request to a minion.
struct SendCommand {
    RequestId request;
    AttemptId attempt;
    MinionId minion;
    std::string address;
};

/// Hand the request to an entry of another zone.
struct ForwardCommand {
    RequestId request;
    AttemptId attempt;
    InstanceId entry;
    Duration timeout{};
};

/// Stop waiting for an attempt and close its connection.
struct CancelCommand {
    AttemptId attempt;
};

/// Claim the key at the leader of its home zone.
struct ClaimCommand {
    RequestId request;
    AttemptId attempt;
    std::string key;
    std::string fingerprint;
    Duration timeout{};
};

/// Finish a claim. With outcome `Run`, the answer of `answeredBy` is stored.
struct FinishCommand {
    RequestId request;
    AttemptId attempt; ///< the one that holds the claim
    std::string key;
    Outcome outcome = Outcome::Unknown;
    AttemptId answeredBy;
};

/// Why a request was answered without a minion's answer.
enum class AnswerReason : std::uint8_t {
    MinionAnswer,
    StoredAnswer,
    QueueFull,
    WaitTooLong,
    Expired,
    NoMinion,
    Draining,
    RetriesExhausted,
    InDoubt,
    ClaimUnavailable,
    InProgress,
    FingerprintMismatch,
    MissingKey,
};

/// \return the lower-case name used in logs and answers.
std::string_view toString(AnswerReason reason);

/// Answer the caller. Exactly one is issued for each request.
struct AnswerCommand {
    RequestId request;
    Outcome outcome = Outcome::Unknown;
    AnswerReason reason = AnswerReason::MinionAnswer;
    AttemptId answeredBy; ///< whose answer is passed on, with MinionAnswer
    Duration retryAfter{}; ///< with `not run`
};

/// One routing decision, for the log.
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
