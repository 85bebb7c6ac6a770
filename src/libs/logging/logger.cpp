#include "logging/logger.h"

#include "core/boundedring.h"
#include "logging/logratelimiter.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/hierarchy.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <ctime>
#include <mutex>
#include <thread>

namespace Pistachio::Logging
{

namespace
{

constexpr std::string_view standardOutput = "-";

struct Line {
    LogLevel level = LogLevel::Info;
    std::chrono::system_clock::time_point time;
    std::string event;
    std::vector<LogField> fields;
};

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

LogLevel levelFromName(std::string_view name)
{
    for (const LogLevel level : {LogLevel::Debug, LogLevel::Warning, LogLevel::Error}) {
        if (levelName(level) == name)
            return level;
    }
    return LogLevel::Info;
}

log4cxx::LevelPtr libraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

std::string timestamp(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    const std::time_t seconds = sinceEpoch / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, sizeof("2026-01-01T00:00:00")> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%FT%T", &parts);
    std::string milliseconds = std::to_string(sinceEpoch % 1000);
    milliseconds.insert(0, 3 - milliseconds.size(), '0');
    return std::string(text.data(), length) + '.' + milliseconds + 'Z';
}

} // namespace

class Logger::Private
{
public:
    Private(std::string_view program, std::string_view instance, std::string_view level, const std::string &file,
            std::size_t queueCapacity, std::uint64_t linesPerSecond)
        : program_(program)
        , instance_(instance)
        , lowestLevel_(levelFromName(level))
        , ring_(queueCapacity)
        , limiter_(linesPerSecond)
        , hierarchy_(log4cxx::Hierarchy::create())
        , logger_(hierarchy_->getLogger("pistachio"))
    {
        const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
        log4cxx::AppenderPtr appender;
        if (file.empty())
            appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
        else if (file == standardOutput)
            appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
        else
            appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
        logger_->setLevel(log4cxx::Level::getAll());
        logger_->addAppender(appender);
        writer_ = std::thread([this] { run(); });
    }

    ~Private()
    {
        ring_.close();
        writer_.join();
        reportDropped();
        for (const auto &suppressed : limiter_.takeAllSuppressed())
            emit(suppressedLine(suppressed));
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    [[nodiscard]] bool isEnabled(LogLevel level) const { return level >= lowestLevel_; }

    /// \return whether another line of the event may be written now.
    bool admit(std::string_view event)
    {
        const auto now = std::chrono::steady_clock::now();
        std::vector<SuppressedLines> suppressed;
        bool admitted = false;
        {
            const std::lock_guard lock(limiterMutex_);
            suppressed = limiter_.takeSuppressed(now);
            admitted = limiter_.admit(now, event);
        }
        for (const auto &lines : suppressed)
            push(suppressedLine(lines));
        return admitted;
    }

    void push(Line line)
    {
        if (!ring_.tryPush(std::move(line)))
            dropped_.fetch_add(1, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t dropped() const { return dropped_.load(std::memory_order_relaxed); }

private:
    static Line suppressedLine(const SuppressedLines &lines)
    {
        return {LogLevel::Warning,
                std::chrono::system_clock::now(),
                "log-lines-suppressed",
                {{"of", lines.event}, {"count", lines.count}}};
    }

    void run()
    {
        while (auto line = ring_.pop()) {
            emit(*line);
            reportDropped();
        }
    }

    void reportDropped()
    {
        const std::uint64_t count = dropped();
        if (count == reportedDropped_)
            return;
        const auto newlyDropped = static_cast<std::int64_t>(count - reportedDropped_);
        emit({LogLevel::Warning, std::chrono::system_clock::now(), "log-lines-dropped", {{"count", newlyDropped}}});
        reportedDropped_ = count;
    }

    void emit(const Line &line)
    {
        nlohmann::ordered_json json;
        json["time"] = timestamp(line.time);
        json["level"] = levelName(line.level);
        json["program"] = program_;
        json["instance"] = instance_;
        json["event"] = line.event;
        for (const LogField &field : line.fields)
            std::visit([&](const auto &value) { json[field.name] = value; }, field.value);
        // Bytes that are not UTF-8 come from callers; they are replaced so that each line stays valid JSON. Output is
        // plain ASCII, since log4cxx converts other characters to the charset of the locale.
        const std::string text = json.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
        logger_->forcedLog(libraryLevel(line.level), text, log4cxx::spi::LocationInfo::getLocationUnavailable());
    }

    const std::string program_;
    const std::string instance_;
    const LogLevel lowestLevel_;
    BoundedRing<Line> ring_;
    std::mutex limiterMutex_;
    LogRateLimiter limiter_; ///< guarded by limiterMutex_
    std::atomic<std::uint64_t> dropped_ = 0;
    std::uint64_t reportedDropped_ = 0; // used by the writer thread, and after its end by the destructor
    log4cxx::spi::LoggerRepositoryPtr hierarchy_;
    log4cxx::LoggerPtr logger_;
    std::thread writer_;
};

Logger::Logger(std::string_view program, std::string_view instance, std::string_view level, const std::string &file,
               std::size_t queueCapacity, std::uint64_t linesPerSecond)
    : d_(std::make_unique<Private>(program, instance, level, file, queueCapacity, linesPerSecond))
{
}

Logger::~Logger() = default;

void Logger::write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    writeFields(level, event, {fields.begin(), fields.size()});
}

void Logger::writeFields(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    if (!d_->isEnabled(level) || !d_->admit(event))
        return;
    d_->push({level, std::chrono::system_clock::now(), std::string(event), {fields.begin(), fields.end()}});
}

std::uint64_t Logger::droppedLines() const
{
    return d_->dropped();
}

} // namespace Pistachio::Logging
