#pragma once

#include <cstdint>

namespace Pistachio::Logging
{

/// How important a log line is.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

} // namespace Pistachio::Logging
