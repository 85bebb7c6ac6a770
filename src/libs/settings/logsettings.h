#pragma once

#include <string>

namespace Pistachio::Settings
{

class TableReader;

/// The [log] table.
struct LogSettings {
    std::string level = "info"; ///< debug, info, warning or error
    std::string file; ///< empty: standard error; "-": standard output

    /// \param reader the [log] table; errors are collected there
    /// \return the settings, with defaults for what is missing.
    static LogSettings read(TableReader &reader);
};

} // namespace Pistachio::Settings
