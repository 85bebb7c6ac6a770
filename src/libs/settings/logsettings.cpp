#include "settings/logsettings.h"

#include "settings/tablereader.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace Pistachio::Settings
{

LogSettings LogSettings::read(TableReader &reader)
{
    static constexpr std::array<std::string_view, 4> levels{"debug", "info", "warning", "error"};
    LogSettings settings;
    settings.level = reader.optionalString("level", settings.level);
    if (std::find(levels.begin(), levels.end(), settings.level) == levels.end())
        reader.addError("level", "must be debug, info, warning or error");
    settings.file = reader.optionalString("file", "");
    return settings;
}

} // namespace Pistachio::Settings
