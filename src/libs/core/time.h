#pragma once

#include <chrono>

namespace Pistachio
{

/// A span of time in whole microseconds.
using Duration = std::chrono::microseconds;

/// The clock of the decision libraries: monotonic, started at an arbitrary point, advanced only by the caller.
struct MonotonicClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required name
};

/// A point on the monotonic clock of one process. Points of two processes can't be compared.
using TimePoint = MonotonicClock::time_point;

using namespace std::chrono_literals; // NOLINT(google-global-names-in-headers)

} // namespace Pistachio
