#include "sheet/columns.h"

#include "sheet/bookinglimits.h"
#include "sheet/identifierfault.h"
#include "sheet/utctext.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <utility>

namespace Pistachio::Sheet::Internal
{

namespace
{

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? char(c + 'a' - 'A') : c; });
    return lower;
}

std::string wholeNumber(std::string_view cell, std::int64_t least, std::int64_t most, std::int64_t &value)
{
    std::int64_t parsed = 0;
    const auto [end, error] = std::from_chars(cell.data(), cell.data() + cell.size(), parsed);
    if (error != std::errc() || end != cell.data() + cell.size() || parsed < least || parsed > most)
        return "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most);
    value = parsed;
    return {};
}

std::string readIdentifier(std::string_view cell, std::string &value)
{
    std::string fault = identifierFault(cell);
    if (fault.empty())
        value = cell;
    return fault;
}

std::string readId(std::string_view cell, Booking &booking)
{
    std::string value;
    std::string fault = readIdentifier(cell, value);
    booking.id = BookingId(std::move(value));
    return fault;
}

std::string readTeam(std::string_view cell, Booking &booking)
{
    std::string value;
    std::string fault = readIdentifier(cell, value);
    booking.team = TeamId(std::move(value));
    return fault;
}

std::string readZone(std::string_view cell, Booking &booking)
{
    std::string value;
    std::string fault = cell.empty() ? std::string() : readIdentifier(cell, value);
    booking.zone = ZoneId(std::move(value));
    return fault;
}

std::string readKind(std::string_view cell, Booking &booking)
{
    const std::string word = lowerCase(cell);
    for (const WorkKind kind : {WorkKind::Service, WorkKind::Batch, WorkKind::Together}) {
        if (word == toString(kind)) {
            booking.kind = kind;
            return {};
        }
    }
    return "must be service, batch or together";
}

std::string readStanding(std::string_view cell, Booking &booking)
{
    const std::string word = lowerCase(cell);
    for (const Standing standing : {Standing::Urgent, Standing::Promised, Standing::Normal, Standing::Spare}) {
        if (word == toString(standing)) {
            booking.standing = standing;
            return {};
        }
    }
    return "must be urgent, promised, normal or spare";
}

std::string readTasks(std::string_view cell, Booking &booking)
{
    std::int64_t value = 1;
    std::string fault = wholeNumber(cell, 1, maximumTasks, value);
    booking.tasks = static_cast<std::uint32_t>(value);
    return fault;
}

// Spreadsheets of locales that separate cells by semicolons write a decimal comma.
std::string readCores(std::string_view cell, Booking &booking)
{
    constexpr std::size_t decimals = 3;
    std::string fault = "must be a number of cores from 0.001 to " + std::to_string(maximumMilliCores / 1000)
        + " with at most three decimals";
    const std::size_t point = cell.find_first_of(".,");
    const std::string_view whole = cell.substr(0, point);
    std::string fraction(point == std::string_view::npos ? std::string_view() : cell.substr(point + 1));
    const bool hasEmptyPart = whole.empty() || (point != std::string_view::npos && fraction.empty());
    if (hasEmptyPart || fraction.size() > decimals || !std::ranges::all_of(whole, isDigit)
        || !std::ranges::all_of(fraction, isDigit))
        return fault;
    fraction.resize(decimals, '0');
    std::int64_t value = 0;
    if (!wholeNumber(std::string(whole) + fraction, 1, maximumMilliCores, value).empty())
        return fault;
    booking.resources.milliCores = value;
    return {};
}

std::string readMemory(std::string_view cell, Booking &booking)
{
    std::int64_t value = 0;
    std::string fault = wholeNumber(cell, 1, maximumMemoryMebibytes, value);
    booking.resources.memoryBytes = value * bytesPerMebibyte;
    return fault;
}

std::string readAccelerators(std::string_view cell, Booking &booking)
{
    return cell.empty() ? std::string() : wholeNumber(cell, 0, maximumAccelerators, booking.resources.accelerators);
}

std::string readRunSeconds(std::string_view cell, Booking &booking)
{
    return cell.empty() ? std::string() : wholeNumber(cell, 0, maximumRunSeconds, booking.runSeconds);
}

std::string readGraceSeconds(std::string_view cell, Booking &booking)
{
    return cell.empty() ? std::string() : wholeNumber(cell, 0, maximumGraceSeconds, booking.graceSeconds);
}

std::string readCheckpoint(std::string_view cell, Booking &booking)
{
    const std::string word = lowerCase(cell);
    booking.checkpoint = word == "yes" || word == "true" || word == "1";
    const bool isNo = word.empty() || word == "no" || word == "false" || word == "0";
    return booking.checkpoint || isNo ? std::string() : "must be yes or no";
}

std::string readCommand(std::string_view cell, Booking &booking)
{
    if (cell.empty())
        return "must not be empty";
    if (cell.size() > maximumCommandBytes)
        return "must have at most " + std::to_string(maximumCommandBytes) + " bytes";
    const auto isControl = [](char c) {
        return (static_cast<unsigned char>(c) < ' ' && c != '\t' && c != '\n' && c != '\r') || c == '\x7f';
    };
    if (std::ranges::any_of(cell, isControl))
        return "must not have control characters";
    booking.command = cell;
    return {};
}

// The parts of "2026-12-04T06:00:00Z" at fixed places; the seconds may be left out.
std::string readTime(std::string_view cell, std::int64_t &unixS)
{
    static const std::string fault = "must be empty or a time in UTC such as 2026-12-04T06:00:00Z, from 2000 to 2199";
    constexpr std::string_view shape = "dddd-dd-ddTdd:dd:dd";
    constexpr std::size_t sizeWithoutSeconds = 16;
    if (cell.empty())
        return {};
    if (cell.back() != 'Z')
        return fault;
    cell.remove_suffix(1);
    if (cell.size() != shape.size() && cell.size() != sizeWithoutSeconds)
        return fault;
    for (std::size_t i = 0; i < cell.size(); ++i) {
        if (shape[i] == 'd' ? !isDigit(cell[i]) : cell[i] != shape[i])
            return fault;
    }
    const auto number = [cell](std::size_t offset, std::size_t length) {
        int value = 0;
        if (offset < cell.size())
            std::from_chars(cell.data() + offset, cell.data() + offset + length, value);
        return value;
    };
    const std::chrono::year_month_day day{std::chrono::year(number(0, 4)),
                                          std::chrono::month(static_cast<unsigned>(number(5, 2))),
                                          std::chrono::day(static_cast<unsigned>(number(8, 2)))};
    const int hour = number(11, 2);
    const int minute = number(14, 2);
    const int second = number(17, 2);
    const bool isInRange = day.ok() && day.year() >= std::chrono::year(2000) && day.year() < std::chrono::year(2200);
    if (!isInRange || hour > 23 || minute > 59 || second > 59)
        return fault;
    const auto time = std::chrono::sys_days(day) + std::chrono::hours(hour) + std::chrono::minutes(minute)
        + std::chrono::seconds(second);
    unixS = std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
    return {};
}

std::string readStart(std::string_view cell, Booking &booking)
{
    return readTime(cell, booking.startUnixS);
}

std::string readEnd(std::string_view cell, Booking &booking)
{
    return readTime(cell, booking.endUnixS);
}

std::string writeCores(const Booking &booking)
{
    std::string text = std::to_string(booking.resources.milliCores / 1000);
    if (const auto rest = booking.resources.milliCores % 1000; rest != 0) {
        std::string fraction = std::to_string(1000 + rest).substr(1);
        fraction.erase(fraction.find_last_not_of('0') + 1);
        text += '.' + fraction;
    }
    return text;
}

std::string writeUnlessZero(std::int64_t value)
{
    return value == 0 ? std::string() : std::to_string(value);
}

constexpr std::array<Column, 15> allColumns{{
    {"booking", true, readId, [](const Booking &b) { return b.id.value(); }},
    {"team", true, readTeam, [](const Booking &b) { return b.team.value(); }},
    {"kind", true, readKind, [](const Booking &b) { return std::string(toString(b.kind)); }},
    {"tasks", true, readTasks, [](const Booking &b) { return std::to_string(b.tasks); }},
    {"cores", true, readCores, writeCores},
    {"memory_mb", true, readMemory,
     [](const Booking &b) { return std::to_string(b.resources.memoryBytes / bytesPerMebibyte); }},
    {"accelerators", true, readAccelerators,
     [](const Booking &b) { return writeUnlessZero(b.resources.accelerators); }},
    {"start", true, readStart, [](const Booking &b) { return utcText(b.startUnixS); }},
    {"end", true, readEnd, [](const Booking &b) { return utcText(b.endUnixS); }},
    {"standing", true, readStanding, [](const Booking &b) { return std::string(toString(b.standing)); }},
    {"zone", true, readZone, [](const Booking &b) { return b.zone.value(); }},
    {"run_seconds", true, readRunSeconds, [](const Booking &b) { return writeUnlessZero(b.runSeconds); }},
    {"checkpoint", true, readCheckpoint, [](const Booking &b) { return std::string(b.checkpoint ? "yes" : "no"); }},
    {"command", true, readCommand, [](const Booking &b) { return b.command; }},
    {"grace_seconds", false, readGraceSeconds, [](const Booking &b) { return std::to_string(b.graceSeconds); }},
}};

} // namespace

std::span<const Column> columns()
{
    return allColumns;
}

std::pair<std::string_view, std::string> contradiction(const Booking &booking)
{
    if (booking.endUnixS != 0 && booking.startUnixS != 0 && booking.endUnixS <= booking.startUnixS)
        return {"end", "must be later than the start"};
    return {};
}

} // namespace Pistachio::Sheet::Internal
