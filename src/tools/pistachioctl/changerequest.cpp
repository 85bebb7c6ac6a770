#include "pistachioctl/changerequest.h"

#include "pistachioctl/controlclient.h"
#include "pistachioctl/table.h"
#include "sheet/identifierfault.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

namespace Pistachio::Pistachioctl
{

namespace
{

using nlohmann::json;

Transport::Request baseRequest(const Invocation &invocation, const std::string &method, const std::string &target)
{
    Transport::Request request;
    request.method = method;
    request.target = target;
    request.headers.push_back({"Authorization", "Bearer " + invocation.options.token});
    return request;
}

void printAttempts(const Invocation &invocation, const Reply &reply)
{
    for (const std::string &attempt : reply.attempts)
        invocation.err << "  " << attempt << '\n';
}

ExitCode printUnavailable(const Invocation &invocation, const Reply &reply)
{
    invocation.err << "error: no control instance could serve the request; nothing was changed. Tried:\n";
    printAttempts(invocation, reply);
    invocation.err
        << "next: check the addresses given by --control, and that a majority of the control instances runs; "
           "then try again.\n";
    return ExitCode::Unavailable;
}

ExitCode printUnknown(const Invocation &invocation, const Reply &reply, const std::string &requestId)
{
    invocation.err << "error: the result is unknown: the change may or may not have been made. Tried:\n";
    printAttempts(invocation, reply);
    invocation.err << "next: repeat the same command with --request-id=" << requestId
                   << "; within 24 hours the cell does not make the change twice and gives the first result.\n";
    return ExitCode::ResultUnknown;
}

ExitCode exitCodeOf(int status, const std::string &code)
{
    constexpr int badRequest = 400;
    constexpr int unauthorized = 401;
    constexpr int notFound = 404;
    if (code == "version-conflict")
        return ExitCode::Conflict;
    if (status == unauthorized)
        return ExitCode::Unauthorized;
    if (status == notFound)
        return ExitCode::NotFound;
    if (status == badRequest || code == "sheet-invalid" || code == "invalid")
        return ExitCode::Invalid;
    return ExitCode::Refused;
}

void printDetails(std::ostream &stream, const json &details)
{
    if (const json errors = details.value("errors", json::array()); !errors.empty())
        stream << tableText(errors, {"row", "column", "value", "reason"});
    if (details.contains("version"))
        stream << "in force: version " << cellText(details["version"]) << " by "
               << cellText(details.value("author", json())) << '\n';
    for (const char *key : {"differences", "notes"}) {
        for (const json &line : details.value(key, json::array()))
            stream << "  " << cellText(line) << '\n';
    }
}

ExitCode printRefusal(const Invocation &invocation, const Transport::Response &response)
{
    const json body = json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        invocation.err << "error: status " << response.status << ": " << response.body << '\n';
        return exitCodeOf(response.status, {});
    }
    if (invocation.options.isJson)
        invocation.out << response.body;
    invocation.err << "error: " << cellText(body.value("message", json())) << '\n';
    if (const json details = body.value("details", json::object()); details.is_object())
        printDetails(invocation.err, details);
    if (const std::string next = cellText(body.value("next_step", json())); !next.empty())
        invocation.err << "next: " << next << '\n';
    return exitCodeOf(response.status, cellText(body.value("code", json())));
}

void printAccepted(const Invocation &invocation, const json &body)
{
    invocation.out << cellText(body.value("result", json()));
    if (body.contains("version"))
        invocation.out << " as version " << cellText(body["version"]);
    if (body.value("repeated_request", json()) == true)
        invocation.out << " (the first result of this request id)";
    invocation.out << '\n';
    if (body.contains("instances"))
        invocation.out << "in force on " << cellText(body.value("in_force_instances", json())) << " of "
                       << cellText(body["instances"])
                       << " instances; 'pistachioctl status' shows when it is in force everywhere\n";
    printDetails(
        invocation.out,
        {{"differences", body.value("differences", json::array())}, {"notes", body.value("notes", json::array())}});
}

} // namespace

std::optional<Transport::Response> fetch(const Invocation &invocation, const std::string &target, ExitCode &code)
{
    ControlClient client(invocation.caller, invocation.options.controls);
    Reply reply = client.send(baseRequest(invocation, "GET", target));
    if (reply.outcome != Reply::Outcome::Answered) {
        code = printUnavailable(invocation, reply);
        return std::nullopt;
    }
    constexpr int ok = 200;
    if (reply.response.status != ok) {
        code = printRefusal(invocation, reply.response);
        return std::nullopt;
    }
    if (Transport::headerValue(reply.response.headers, "Pistachio-Stale") == "true")
        invocation.err << "warning: the instance that answered has no leader; the answer may be out of date\n";
    code = ExitCode::Done;
    return std::move(reply.response);
}

ExitCode fetchAndPrint(const Invocation &invocation, const std::string &target,
                       const std::function<void(const json &)> &print)
{
    ExitCode code = ExitCode::Done;
    const auto response = fetch(invocation, target, code);
    if (!response)
        return code;
    const json body = json::parse(response->body, nullptr, false);
    if (!body.is_object()) {
        invocation.err << "error: the answer is not JSON; check that --control names operator ports\n";
        return ExitCode::Unavailable;
    }
    if (invocation.options.isJson)
        invocation.out << response->body;
    else
        print(body);
    return code;
}

ExitCode sendChange(const Invocation &invocation, Change change)
{
    const Options &options = invocation.options;
    if (options.author.empty())
        return usageFault(invocation, "give --author=<your name>; every change is recorded with its author");
    const std::string requestId = options.requestId.empty() ? invocation.newRequestId() : options.requestId;
    // A line end would end the header that carries the value.
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; };
    if (std::ranges::any_of(options.author, isControl))
        return usageFault(invocation, "--author must not have control characters");
    if (const std::string fault = Sheet::identifierFault(requestId); !fault.empty())
        return usageFault(invocation, "--request-id " + fault);
    if (options.isDryRun)
        change.target.append(change.target.find('?') == std::string::npos ? "?" : "&").append("dry_run=true");
    else // Printed before the change is sent, so that it is known even if this program is stopped.
        invocation.err << "request id: " << requestId << '\n';
    Transport::Request request = baseRequest(invocation, change.method, change.target);
    request.headers.push_back({"Request-Id", requestId});
    request.headers.push_back({"Author", options.author});
    request.headers.push_back({"Content-Type", std::string(change.contentType)});
    if (change.expectVersion)
        request.headers.push_back({"Expect-Version", std::to_string(*change.expectVersion)});
    request.body = std::move(change.body);

    ControlClient client(invocation.caller, options.controls);
    Reply reply = client.send(request);
    constexpr int ok = 200;
    const json body = json::parse(reply.response.body, nullptr, false);
    if (reply.outcome == Reply::Outcome::Answered && reply.response.status == ok && !body.is_object()) {
        reply.outcome = Reply::Outcome::Unknown;
        reply.attempts.emplace_back("the answer is not JSON; check that --control names operator ports");
    }
    if (reply.outcome == Reply::Outcome::Unknown && !options.isDryRun)
        return printUnknown(invocation, reply, requestId);
    if (reply.outcome != Reply::Outcome::Answered)
        return printUnavailable(invocation, reply);
    if (reply.response.status != ok)
        return printRefusal(invocation, reply.response);
    if (options.isJson)
        invocation.out << reply.response.body;
    else
        printAccepted(invocation, body);
    return ExitCode::Done;
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (plain.find(c) != std::string_view::npos)
            result += c;
        else
            result.append({'%', digits[byte >> 4U], digits[byte & 0xFU]});
    }
    return result;
}

std::optional<std::string> readFile(const Invocation &invocation, const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf())) {
        // An empty file has nothing to copy, which sets the same state as a failure.
        if (file.is_open() && file.peek() == std::ifstream::traits_type::eof())
            return std::string();
        invocation.err << "error: the file '" << path << "' can't be read\n";
        return std::nullopt;
    }
    return content.str();
}

ExitCode usageFault(const Invocation &invocation, std::string_view message)
{
    invocation.err << "error: " << message << "\nnext: 'pistachioctl help' shows all commands\n";
    return ExitCode::Usage;
}

} // namespace Pistachio::Pistachioctl
