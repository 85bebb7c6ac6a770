#include "settings/clientlimits.h"

#include "settings/tablereader.h"

#include <cstdint>
#include <string_view>

namespace Pistachio::Settings
{

namespace
{

constexpr std::size_t usualMemoryMb = 256; ///< where the settings don't tell
constexpr std::int64_t mostMemoryMb = std::int64_t{1} << 20;
constexpr std::int64_t mostPercent = 90;
constexpr std::int64_t fewestBytes = 128;
constexpr std::int64_t mostPartBytes = std::int64_t{1} << 20;
constexpr std::int64_t mostBodyBytes = std::int64_t{1} << 30;
constexpr Duration shortestTimeout = 1ms;
constexpr Duration longestTimeout = 10min;

std::size_t readSize(TableReader &limits, std::string_view key, std::size_t fallback, std::int64_t least,
                     std::int64_t most)
{
    return static_cast<std::size_t>(limits.optionalInteger(key, static_cast<std::int64_t>(fallback), least, most));
}

Duration readTimeout(TableReader &limits, std::string_view key, Duration fallback)
{
    return limits.optionalMilliseconds(key, fallback, shortestTimeout, longestTimeout);
}

} // namespace

std::size_t ClientLimits::budgetBytes() const
{
    return ((memoryMb == 0 ? usualMemoryMb : memoryMb) << 20) * memoryPercent / 100;
}

ClientLimits ClientLimits::read(TableReader &limits)
{
    ClientLimits result;
    result.memoryMb = readSize(limits, "max_memory_mb", result.memoryMb, 0, mostMemoryMb);
    result.memoryPercent = readSize(limits, "client_memory_percent", result.memoryPercent, 1, mostPercent);
    result.headerBytes = readSize(limits, "max_header_bytes", result.headerBytes, fewestBytes, mostPartBytes);
    result.trailerBytes = readSize(limits, "max_trailer_bytes", result.trailerBytes, fewestBytes, mostPartBytes);
    result.chunkLineBytes = readSize(limits, "max_chunk_line_bytes", result.chunkLineBytes, fewestBytes, mostPartBytes);
    result.bodyBytes = readSize(limits, "max_body_bytes", result.bodyBytes, 0, mostBodyBytes);
    result.pipelinedBytes = readSize(limits, "max_pipelined_bytes", result.pipelinedBytes, fewestBytes, mostPartBytes);
    result.headerTimeout = readTimeout(limits, "header_timeout_ms", result.headerTimeout);
    result.receiveTimeout = readTimeout(limits, "receive_timeout_ms", result.receiveTimeout);
    result.idleTimeout = readTimeout(limits, "idle_timeout_ms", result.idleTimeout);
    result.sendTimeout = readTimeout(limits, "send_timeout_ms", result.sendTimeout);
    return result;
}

} // namespace Pistachio::Settings
