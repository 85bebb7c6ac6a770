#include "entrynode/entrynode.h"
#include "settings/entrysettings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <string>
#include <string_view>

ABSL_FLAG(std::string, settings, "", "the settings file (TOML)");
ABSL_FLAG(bool, check_config, false, "check the settings file and exit");

namespace
{

int fail(const std::string &message)
{
    std::fprintf(stderr, "pistachio-entry: %s\n", message.c_str());
    return 1;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace Pistachio;
    absl::SetProgramUsageMessage("Routes callers' requests to the minions of an availability zone.\n"
                                 "  pistachio-entry --settings=<file> [--check-config]");
    // Abseil's flags have underscores; the documented spelling has a hyphen.
    char checkConfig[] = "--check_config";
    for (int index = 1; index < argc; ++index) {
        if (std::string_view(argv[index]) == "--check-config")
            argv[index] = checkConfig;
    }
    absl::ParseCommandLine(argc, argv);
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty())
        return fail("--settings=<file> is missing");
    const auto settings = Settings::EntrySettings::load(path);
    if (!settings)
        return fail(settings.error().message);
    if (absl::GetFlag(FLAGS_check_config)) {
        std::printf("%s: no errors\n", path.c_str());
        return 0;
    }
    const auto node = Entrynode::EntryNode::open(settings.value());
    if (!node)
        return fail(node.error().message);
    return node.value()->run();
}
