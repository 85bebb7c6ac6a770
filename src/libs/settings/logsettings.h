#pragma once

#include <cstdint>
#include <string>

namespace Pistachio::Settings
{

class TableReader;

/// The [log] table.
struct LogSettings {
    std::string level = "info"; ///< debug, info, warning or error
    std::uint64_t linesPerSecond = 2000; ///< of each event; further ones are counted only
    std::string file; ///< empty: standard error; "-": standard output

    /// \param reader the [log] table; errors are collected there
    /// \return the settings, with defaults for what is missing.
    static LogSettings read(TableReader &reader);
};

} // namespace Pistachio::Settings
