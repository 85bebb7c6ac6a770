#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Logging
{

/// How many lines of an event were left out.
struct SuppressedLines {
    std::string event;
    std::int64_t count = 0;
};

/// Bounds the lines of each event in a second, so that one event that repeats can't crowd out the others.
class LogRateLimiter
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// \param linesPerSecond of each event
    explicit LogRateLimiter(std::uint64_t linesPerSecond);

    /// \return whether another line of the event may be written now.
    bool admit(TimePoint now, std::string_view event);

    /// \return what was left out in seconds that have passed, once.
    std::vector<SuppressedLines> takeSuppressed(TimePoint now);

    /// \return what was left out and has not been taken, once.
    std::vector<SuppressedLines> takeAllSuppressed();

private:
    void beginSecond(TimePoint now);

    std::uint64_t linesPerSecond_;
    TimePoint secondStart_{};
    std::map<std::string, std::uint64_t, std::less<>> lines_; ///< of this second, by event
    std::vector<SuppressedLines> suppressed_; ///< of earlier seconds
};

} // namespace Pistachio::Logging
