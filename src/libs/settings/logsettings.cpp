#include "settings/logsettings.h"

#include "settings/tablereader.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace Pistachio::Settings
{

namespace
{
constexpr std::int64_t mostLinesPerSecond = 1'000'000;
}

LogSettings LogSettings::read(TableReader &reader)
{
    static constexpr std::array<std::string_view, 4> levels{"debug", "info", "warning", "error"};
    LogSettings settings;
    settings.level = reader.optionalString("level", settings.level);
    if (std::find(levels.begin(), levels.end(), settings.level) == levels.end())
        reader.addError("level", "must be debug, info, warning or error");
    settings.linesPerSecond = static_cast<std::uint64_t>(reader.optionalInteger(
        "lines_per_second", static_cast<std::int64_t>(settings.linesPerSecond), 1, mostLinesPerSecond));
    settings.file = reader.optionalString("file", "");
    return settings;
}

} // namespace Pistachio::Settings
