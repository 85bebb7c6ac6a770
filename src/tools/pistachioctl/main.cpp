#include "pistachioctl/networkcaller.h"
#include "pistachioctl/verbs.h"
#include "settings/tablereader.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>

ABSL_FLAG(std::vector<std::string>, control, {}, "operator ports of control instances, <ip>:<port>,...");
ABSL_FLAG(std::string, config, "", "TOML file with the keys control, token_file and author");
ABSL_FLAG(std::string, token_file, "", "file with the operators' token");
ABSL_FLAG(std::string, author, "", "name recorded with a change");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(std::string, request_id, "", "id of the change, for a safe repeat");
ABSL_FLAG(int64_t, expect_version, -1, "version that the change was made for");
ABSL_FLAG(bool, dry_run, false, "check a change without making it");
ABSL_FLAG(std::vector<std::string>, reinstate, {}, "cancelled bookings that the sheet brings back");
ABSL_FLAG(std::string, state, "", "only entries with this state");
ABSL_FLAG(std::string, zone, "", "only entries of this availability zone");
ABSL_FLAG(int32_t, timeout_ms, 10'000, "limit of one call in milliseconds");

namespace
{

using namespace Pistachio;
using namespace Pistachio::Pistachioctl;

// Abseil names flags with underscores; operators write hyphens.
std::vector<std::string> withUnderscores(int argc, char **argv)
{
    std::vector<std::string> arguments(argv, argv + argc);
    for (std::string &argument : arguments) {
        if (argument == "--")
            break;
        if (argument.starts_with("--"))
            std::replace(argument.begin() + 2, std::find(argument.begin(), argument.end(), '='), '-', '_');
    }
    return arguments;
}

std::string environment(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

Result<void> readConfigFile(std::vector<std::string> &controls, std::string &tokenFile, std::string &author)
{
    std::string path = absl::GetFlag(FLAGS_config);
    if (path.empty())
        path = environment("PISTACHIOCTL_CONFIG");
    if (path.empty())
        return success();
    BOOST_OUTCOME_TRY(auto reader, Settings::TableReader::open(path));
    controls = reader.optionalStrings("control");
    tokenFile = reader.optionalString("token_file", "");
    author = reader.optionalString("author", "");
    return reader.finish();
}

Result<std::string> readToken(const std::string &path)
{
    if (path.empty())
        return std::string();
    std::ifstream file(path);
    std::string token;
    if (!std::getline(file, token) || token.empty())
        return failure(ErrorCode::Io, "no token can be read from '" + path + "'");
    token.erase(token.find_last_not_of(" \r\t") + 1);
    return token;
}

Result<Options> readOptions()
{
    Options options;
    std::vector<std::string> controls;
    std::string tokenFile;
    BOOST_OUTCOME_TRY(readConfigFile(controls, tokenFile, options.author));
    if (const auto flag = absl::GetFlag(FLAGS_control); !flag.empty())
        controls = flag;
    if (const auto flag = absl::GetFlag(FLAGS_token_file); !flag.empty())
        tokenFile = flag;
    if (const auto flag = absl::GetFlag(FLAGS_author); !flag.empty())
        options.author = flag;
    if (options.author.empty())
        options.author = environment("USER");
    for (const std::string &control : controls) {
        BOOST_OUTCOME_TRY(auto endpoint, Transport::Endpoint::parse(control));
        options.controls.push_back(std::move(endpoint));
    }
    BOOST_OUTCOME_TRY(options.token, readToken(tokenFile));
    const std::string output = absl::GetFlag(FLAGS_output);
    if (output != "table" && output != "json")
        return failure(ErrorCode::InvalidArgument, "--output must be table or json");
    options.isJson = output == "json";
    options.requestId = absl::GetFlag(FLAGS_request_id);
    if (const int64_t version = absl::GetFlag(FLAGS_expect_version); version >= 0)
        options.expectVersion = static_cast<std::uint64_t>(version);
    options.isDryRun = absl::GetFlag(FLAGS_dry_run);
    options.reinstate = absl::GetFlag(FLAGS_reinstate);
    options.state = absl::GetFlag(FLAGS_state);
    options.zone = absl::GetFlag(FLAGS_zone);
    return options;
}

std::string randomRequestId()
{
    constexpr int characters = 32;
    constexpr std::string_view digits = "0123456789abcdef";
    std::random_device source;
    std::string id = "ctl-";
    for (int i = 0; i < characters; ++i)
        id += digits[source() % digits.size()];
    return id;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::string> arguments = withUnderscores(argc, argv);
    std::vector<char *> pointers;
    pointers.reserve(arguments.size());
    for (std::string &argument : arguments)
        pointers.push_back(argument.data());
    absl::SetProgramUsageMessage(usageText());
    const std::vector<char *> rest = absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
    const auto options = readOptions();
    if (options.has_error()) {
        std::cerr << "error: " << options.error().message << '\n';
        return static_cast<int>(ExitCode::Usage);
    }
    NetworkCaller caller(std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms)));
    const std::vector<std::string> words(rest.begin() + 1, rest.end());
    return static_cast<int>(runVerb(words, {options.value(), {}, caller, std::cout, std::cerr, randomRequestId}));
}
