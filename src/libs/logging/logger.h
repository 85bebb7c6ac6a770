#pragma once

#include "logging/logfield.h"
#include "logging/loglevel.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace Pistachio::Logging
{

/// Writes JSON lines through log4cxx on a thread of its own. A full queue drops lines and counts them instead of
/// blocking the thread that logs; the count is written as the event "log-lines-dropped" once there is room. Lines of
/// one event above its rate are left out and counted by the event "log-lines-suppressed" in the next second.
class Logger
{
public:
    /// \param program the value of the field "program" of each line
    /// \param instance the value of the field "instance" of each line
    /// \param level the name of the lowest level written: debug, info, warning or error
    /// \param file the file to append to, "-" for standard output, or an empty string for standard error
    /// \param queueCapacity the most lines that wait for the writer
    /// \param linesPerSecond the most lines of one event in a second
    Logger(std::string_view program, std::string_view instance, std::string_view level, const std::string &file,
           std::size_t queueCapacity = defaultQueueCapacity, std::uint64_t linesPerSecond = defaultLinesPerSecond);

    /// Writes what is queued, then stops the thread.
    ~Logger();

    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;

    /// \param level how important the line is
    /// \param event a stable name such as "task-assigned"
    /// \param fields the values, with stable names
    void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});
    /// \copydoc write
    void writeFields(LogLevel level, std::string_view event, std::span<const LogField> fields);

    /// \return how many lines the full queue refused since the start.
    [[nodiscard]] std::uint64_t droppedLines() const;

    static constexpr std::size_t defaultQueueCapacity = 8192;
    static constexpr std::uint64_t defaultLinesPerSecond = 2000;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Pistachio::Logging
