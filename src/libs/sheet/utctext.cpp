#include "sheet/utctext.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace Pistachio::Sheet
{

std::string utcText(std::int64_t unixS)
{
    if (unixS == 0)
        return {};
    const std::chrono::sys_seconds time{std::chrono::seconds(unixS)};
    const auto midnight = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day day(midnight);
    const std::chrono::hh_mm_ss clock(time - midnight);
    std::array<char, 64> text{};
    const int size = std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ", int(day.year()),
                                   unsigned(day.month()), unsigned(day.day()), int(clock.hours().count()),
                                   int(clock.minutes().count()), int(clock.seconds().count()));
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace Pistachio::Sheet
