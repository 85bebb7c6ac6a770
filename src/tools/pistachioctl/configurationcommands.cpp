#include "pistachioctl/commands.h"

#include "pistachioctl/changerequest.h"
#include "settings/controlsettings.h"
#include "settings/entrysettings.h"
#include "settings/tablereader.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace Pistachio::Pistachioctl
{

namespace
{

using nlohmann::json;

// Only pistachio-entry listens to callers.
bool isEntrySettings(Settings::TableReader &reader)
{
    bool hasCallers = false;
    reader.table("listen", [&hasCallers](Settings::TableReader &listen) {
        hasCallers = !listen.optionalString("callers", "").empty();
    });
    return hasCallers;
}

} // namespace

ExitCode showConfiguration(const Invocation &invocation)
{
    // The printed object is what 'configuration apply' reads, so it is JSON for people too.
    return fetchAndPrint(invocation, "/v1/configuration",
                         [&](const json &body) { invocation.out << body.dump(4) << '\n'; });
}

ExitCode applyConfiguration(const Invocation &invocation)
{
    const auto text = readFile(invocation, invocation.words.front());
    if (!text)
        return ExitCode::Usage;
    const json body = json::parse(*text, nullptr, false);
    if (!body.is_object()) {
        invocation.err << "error: " << invocation.words.front() << " is not a JSON object\n"
                       << "next: start from the output of 'pistachioctl configuration show'\n";
        return ExitCode::Invalid;
    }
    auto version = invocation.options.expectVersion;
    if (const json seen = body.value("version", json()); !version && seen.is_number_unsigned())
        version = seen.get<std::uint64_t>();
    if (!version)
        return usageFault(invocation, "give --expect-version=<version> or the key 'version' in the file");
    return sendChange(invocation, {"PUT", "/v1/configuration", *text, "application/json", version});
}

ExitCode checkSettings(const Invocation &invocation)
{
    const std::string &path = invocation.words.front();
    auto reader = Settings::TableReader::open(path);
    if (reader.has_error()) {
        invocation.err << "error: " << reader.error().message << '\n';
        return ExitCode::Invalid;
    }
    const bool isEntry = isEntrySettings(reader.value());
    std::string errors;
    if (isEntry) {
        if (const auto settings = Settings::EntrySettings::load(path); settings.has_error())
            errors = settings.error().message;
    } else if (const auto settings = Settings::ControlSettings::load(path); settings.has_error()) {
        errors = settings.error().message;
    }
    const std::string program = isEntry ? "pistachio-entry" : "pistachio-control";
    if (invocation.options.isJson)
        invocation.out << json{{"program", program}, {"valid", errors.empty()}, {"errors", errors}}.dump(
            -1, ' ', false, json::error_handler_t::replace)
                       << '\n';
    if (!errors.empty()) {
        invocation.err << "error: these are not valid settings of " << program << ":\n" << errors << '\n';
        return ExitCode::Invalid;
    }
    if (!invocation.options.isJson)
        invocation.out << path << ": valid settings of " << program << '\n';
    return ExitCode::Done;
}

} // namespace Pistachio::Pistachioctl
