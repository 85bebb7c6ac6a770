#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Pistachio
{

/// The class of a failure; callers decide by it, people read the message.
enum class ErrorCode : std::uint8_t {
    InvalidArgument, ///< the input can never be accepted
    NotFound,
    Conflict, ///< the expected version or state does not match
    NotLeader, ///< another instance leads; the message holds its identifier or is empty
    Unavailable, ///< can't be done now; nothing was changed
    Unknown, ///< it can't be told whether the operation took effect
    QuotaExceeded,
    Capacity, ///< resources are missing
    Corrupt, ///< stored data is damaged
    Io, ///< the operating system reported a failure
    Timeout,
};

/// \return the stable lower-case name used in logs and answers.
std::string_view toString(ErrorCode code);

/// A failure as a value.
struct Error {
    ErrorCode code = ErrorCode::InvalidArgument;
    std::string message;

    bool operator==(const Error &) const = default;
};

} // namespace Pistachio
