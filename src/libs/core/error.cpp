#include "core/error.h"

namespace Pistachio
{

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid-argument";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::NotLeader:
        return "not-leader";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Unknown:
        return "unknown";
    case ErrorCode::QuotaExceeded:
        return "quota-exceeded";
    case ErrorCode::Capacity:
        return "capacity";
    case ErrorCode::Corrupt:
        return "corrupt";
    case ErrorCode::Io:
        return "io";
    case ErrorCode::Timeout:
        return "timeout";
    }
    return "invalid-error-code";
}

} // namespace Pistachio
