#include "routing/commands.h"
#include "routing/events.h"
#include "routing/request.h"

namespace Pistachio::Routing
{

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Run:
        return "run";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "invalid-outcome";
}

std::string_view toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::RefusedSlots:
        return "refused-slots";
    case AttemptEnd::RefusedLeaving:
        return "refused-leaving";
    case AttemptEnd::NotWritten:
        return "not-written";
    case AttemptEnd::ConnectionLost:
        return "broken";
    case AttemptEnd::Truncated:
        return "truncated";
    case AttemptEnd::TimedOut:
        return "timed-out";
    case AttemptEnd::PeerNotRun:
        return "peer-not-run";
    case AttemptEnd::PeerUnknown:
        return "peer-unknown";
    }
    return "invalid-attempt-end";
}

std::string_view toString(AnswerReason reason)
{
    switch (reason) {
    case AnswerReason::MinionAnswer:
        return "minion-answer";
    case AnswerReason::StoredAnswer:
        return "stored-answer";
    case AnswerReason::QueueFull:
        return "queue-full";
    case AnswerReason::WaitTooLong:
        return "wait-too-long";
    case AnswerReason::Expired:
        return "expired";
    case AnswerReason::NoMinion:
        return "no-minion";
    case AnswerReason::Draining:
        return "draining";
    case AnswerReason::RetriesExhausted:
        return "retries-exhausted";
    case AnswerReason::InDoubt:
        return "in-doubt";
    case AnswerReason::ClaimUnavailable:
        return "claim-unavailable";
    case AnswerReason::InProgress:
        return "in-progress";
    case AnswerReason::FingerprintMismatch:
        return "fingerprint-mismatch";
    case AnswerReason::MissingKey:
        return "missing-key";
    }
    return "invalid-answer-reason";
}

} // namespace Pistachio::Routing
