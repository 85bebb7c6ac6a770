#pragma once

#include "pistachioctl/invocation.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Pistachio::Pistachioctl
{

/// \param invocation the flags and streams
/// \param target path and query
/// \return the response when its status is 200; otherwise nothing, \p code is set and the reason is printed.
std::optional<Transport::Response> fetch(const Invocation &invocation, const std::string &target, ExitCode &code);

/// Fetches a JSON object and prints it as it is, or as a table.
/// \param invocation the flags and streams
/// \param target path and query
/// \param print writes the object for people
ExitCode fetchAndPrint(const Invocation &invocation, const std::string &target,
                       const std::function<void(const nlohmann::json &)> &print);

/// A change to send.
struct Change {
    std::string method;
    std::string target;
    std::string body;
    std::string_view contentType;
    std::optional<std::uint64_t> expectVersion;
};

/// Sends a change with its request id and prints the result, or how to repeat it safely.
ExitCode sendChange(const Invocation &invocation, Change change);

/// \param text a name
/// \return \p text as a segment of a path or a value of a query.
std::string percentEncoded(std::string_view text);

/// \param path a local file
/// \return its bytes, or nothing after an error was printed.
std::optional<std::string> readFile(const Invocation &invocation, const std::string &path);

/// Prints a fault of the command line.
ExitCode usageFault(const Invocation &invocation, std::string_view message);

} // namespace Pistachio::Pistachioctl
