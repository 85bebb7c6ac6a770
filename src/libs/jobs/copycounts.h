#pragma once

#include <cstdint>

namespace Pistachio::Jobs
{

/// What second copies of tasks have done since the process started.
struct CopyCounts {
    std::uint64_t started = 0; ///< assignments that were stored
    std::uint64_t won = 0; ///< copies that completed their task
    std::uint64_t lost = 0; ///< copies that ended otherwise
    double discardedCoreSeconds = 0; ///< of copies that lost and of runs that a copy overtook
};

} // namespace Pistachio::Jobs
