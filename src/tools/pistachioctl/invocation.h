#pragma once

#include "pistachioctl/caller.h"
#include "pistachioctl/exitcode.h"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace Pistachio::Pistachioctl
{

/// The flags, after the settings file and the environment were read.
struct Options {
    std::vector<Transport::Endpoint> controls;
    std::string token;
    std::string author;
    bool isJson = false;
    std::string requestId; ///< empty: a new one
    std::optional<std::uint64_t> expectVersion;
    bool isDryRun = false;
    std::vector<std::string> reinstate;
    std::string state; ///< filter of lists
    std::string zone; ///< filter of lists
};

/// What a command works with.
struct Invocation {
    const Options &options;
    std::vector<std::string> words; ///< the words after the two of the verb
    Caller &caller;
    std::ostream &out; ///< results
    std::ostream &err; ///< errors, the request id and hints
    std::function<std::string()> newRequestId;
};

} // namespace Pistachio::Pistachioctl
