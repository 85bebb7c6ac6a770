#include "logging/logratelimiter.h"

#include <utility>

namespace Pistachio::Logging
{

LogRateLimiter::LogRateLimiter(std::uint64_t linesPerSecond)
    : linesPerSecond_(linesPerSecond)
{
}

bool LogRateLimiter::admit(TimePoint now, std::string_view event)
{
    beginSecond(now);
    auto found = lines_.find(event);
    if (found == lines_.end())
        found = lines_.emplace(std::string(event), 0).first;
    return ++found->second <= linesPerSecond_;
}

std::vector<SuppressedLines> LogRateLimiter::takeSuppressed(TimePoint now)
{
    beginSecond(now);
    return std::exchange(suppressed_, {});
}

std::vector<SuppressedLines> LogRateLimiter::takeAllSuppressed()
{
    beginSecond(secondStart_ + std::chrono::seconds(1));
    return std::exchange(suppressed_, {});
}

void LogRateLimiter::beginSecond(TimePoint now)
{
    if (now < secondStart_ + std::chrono::seconds(1))
        return;
    secondStart_ = now;
    for (auto &[event, lines] : lines_) {
        if (lines > linesPerSecond_)
            suppressed_.push_back({event, static_cast<std::int64_t>(lines - linesPerSecond_)});
        lines = 0;
    }
}

} // namespace Pistachio::Logging
