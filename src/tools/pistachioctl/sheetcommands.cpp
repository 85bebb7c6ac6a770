#include "pistachioctl/commands.h"

#include "pistachioctl/changerequest.h"
#include "pistachioctl/table.h"
#include "sheet/sheetdifference.h"
#include "sheet/sheetreader.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <ostream>

namespace Pistachio::Pistachioctl
{

namespace
{

using nlohmann::json;

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

void printErrors(const Invocation &invocation, const std::string &path, const Sheet::SheetReading &reading)
{
    json errors = json::array();
    for (const auto &error : reading.errors)
        errors.push_back(
            {{"row", error.row}, {"column", error.column}, {"value", error.value}, {"reason", error.reason}});
    if (invocation.options.isJson)
        invocation.out << json{{"error_count", reading.errorCount}, {"errors", errors}}.dump() << '\n';
    else
        invocation.out << tableText(errors, {"row", "column", "value", "reason"});
    invocation.err << "error: " << path << " has " << reading.errorCount << " errors\n"
                   << "next: correct the cells; a sheet is accepted whole or not at all\n";
}

// Reads and checks a local sheet; prints what is wrong with it.
std::optional<Sheet::SheetReading> readLocal(const Invocation &invocation, std::string &text, ExitCode &code)
{
    const std::string &path = invocation.words.front();
    const auto content = readFile(invocation, path);
    code = ExitCode::Usage;
    if (!content)
        return std::nullopt;
    auto reading = Sheet::readSheet(*content);
    if (!reading.isAccepted()) {
        printErrors(invocation, path, reading);
        code = ExitCode::Invalid;
        return std::nullopt;
    }
    text = *content;
    code = ExitCode::Done;
    return reading;
}

} // namespace

ExitCode checkSheet(const Invocation &invocation)
{
    ExitCode code = ExitCode::Done;
    std::string text;
    const auto reading = readLocal(invocation, text, code);
    if (!reading)
        return code;
    if (invocation.options.isJson)
        invocation.out << json{{"error_count", 0}, {"bookings", reading->bookings.size()}}.dump() << '\n';
    else
        invocation.out << "no errors, " << reading->bookings.size() << " bookings\n";
    return code;
}

ExitCode diffSheet(const Invocation &invocation)
{
    ExitCode code = ExitCode::Done;
    std::string text;
    const auto reading = readLocal(invocation, text, code);
    if (!reading)
        return code;
    const auto response = fetch(invocation, "/v1/sheets/current", code);
    if (!response)
        return code;
    const auto current = Sheet::readSheet(response->body);
    if (!current.isAccepted()) {
        invocation.err << "error: the sheet in force can't be read by this version of pistachioctl\n";
        return ExitCode::Unavailable;
    }
    const std::string version(Transport::headerValue(response->headers, "Sheet-Version"));
    const auto changes = Sheet::difference(current.bookings, reading->bookings);
    const auto lines = changes.toLines(unlimited, unlimited);
    if (invocation.options.isJson) {
        invocation.out << json{{"version",
                                json::parse(version, nullptr, false).is_number() ? json::parse(version) : json()},
                               {"differences", lines}}
                              .dump()
                       << '\n';
        return code;
    }
    for (const std::string &line : lines)
        invocation.out << line << '\n';
    invocation.out << changes.added.size() << " added, " << changes.changed.size() << " changed, "
                   << changes.ended.size() << " ended\n";
    invocation.err << "next: pistachioctl sheet apply " << invocation.words.front() << " --expect-version=" << version
                   << '\n';
    return code;
}

ExitCode applySheet(const Invocation &invocation)
{
    if (!invocation.options.expectVersion)
        return usageFault(invocation,
                          "give --expect-version=<version>, the version that 'sheet diff' showed, so that another "
                          "operator's sheet is not overwritten");
    ExitCode code = ExitCode::Done;
    std::string text;
    if (!readLocal(invocation, text, code))
        return code;
    std::string target = "/v1/sheets";
    for (const std::string &id : invocation.options.reinstate)
        target.append(target.find('?') == std::string::npos ? "?" : "&").append("reinstate=" + percentEncoded(id));
    return sendChange(invocation,
                      {"POST", target, std::move(text), "text/csv; charset=utf-8", invocation.options.expectVersion});
}

ExitCode showSheet(const Invocation &invocation)
{
    const std::string version = invocation.words.empty() ? "current" : invocation.words.front();
    ExitCode code = ExitCode::Done;
    const auto response = fetch(invocation, "/v1/sheets/" + percentEncoded(version), code);
    if (!response)
        return code;
    const std::string number(Transport::headerValue(response->headers, "Sheet-Version"));
    if (invocation.options.isJson)
        invocation.out << json{{"version", number}, {"csv", response->body}}.dump() << '\n';
    else
        invocation.out << response->body;
    return code;
}

ExitCode listSheets(const Invocation &invocation)
{
    return fetchAndPrint(invocation, "/v1/sheets", [&](const json &body) {
        invocation.out << tableText(body.value("history", json::array()),
                                    {"version", "author", "accepted_at", "bookings", "added", "changed", "ended"});
    });
}

} // namespace Pistachio::Pistachioctl
