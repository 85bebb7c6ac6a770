#include "controlnode/controlnode.h"
#include "settings/controlsettings.h"
#include "storage/posixfilesystem.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <memory>
#include <string>

ABSL_FLAG(std::string, settings, "", "the settings file (TOML)");
ABSL_FLAG(bool, bootstrap, false,
          "allow an initial voter to start on an empty data folder; only for the first start of the cell");
ABSL_FLAG(bool, check_config, false, "check the settings file and exit");

namespace
{

int fail(const std::string &message)
{
    std::fprintf(stderr, "pistachio-control: %s\n", message.c_str());
    return 1;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace Pistachio;
    absl::SetProgramUsageMessage("Runs one control instance of a Pistachioworks cell.\n"
                                 "  pistachio-control --settings=<file> [--bootstrap] [--check-config]");
    absl::ParseCommandLine(argc, argv);
    const auto path = absl::GetFlag(FLAGS_settings);
    if (path.empty())
        return fail("--settings=<file> is missing");
    const auto settings = Settings::ControlSettings::load(path);
    if (!settings)
        return fail(settings.error().message);
    if (absl::GetFlag(FLAGS_check_config)) {
        std::printf("%s: no errors\n", path.c_str());
        return 0;
    }
    const auto mode
        = absl::GetFlag(FLAGS_bootstrap) ? Controlnode::StartMode::Bootstrap : Controlnode::StartMode::Normal;
    const auto node
        = Controlnode::ControlNode::open(settings.value(), std::make_unique<Storage::PosixFileSystem>(), mode);
    if (!node)
        return fail(node.error().message);
    return node.value()->run();
}
