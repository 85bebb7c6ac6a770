#include "soak.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <unistd.h>

#include <cstdio>
#include <filesystem>

ABSL_FLAG(std::uint64_t, seed, 1, "the seed of the faults and of the callers");
ABSL_FLAG(int, seconds, 25, "how long faults begin");
ABSL_FLAG(std::string, keep, "",
          "the folder for settings, data and logs, which stays; empty: a temporary one, which"
          " stays only after a violation");

namespace
{

std::string ownNetwork()
{
    // Runs beside each other take addresses of their own; 127.0 belongs to the other tests.
    constexpr int networks = 254;
    return "127." + std::to_string(1 + ::getpid() % networks);
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Runs the job programs on loopback under a random series of faults.\n"
                                 "  soak --seed=<number> [--seconds=<number>] [--keep=<folder>]");
    absl::ParseCommandLine(argc, argv);
    auto folder = absl::GetFlag(FLAGS_keep);
    const bool isTemporary = folder.empty();
    if (isTemporary) {
        folder = (std::filesystem::temp_directory_path() / "pistachio-soak-XXXXXX").string();
        if (::mkdtemp(folder.data()) == nullptr)
            return 1;
    }
    std::filesystem::create_directories(folder);
    Pistachio::Soak::Soak soak(absl::GetFlag(FLAGS_seed), std::chrono::seconds(absl::GetFlag(FLAGS_seconds)), folder,
                               ownNetwork());
    const auto violations = soak.run();
    std::printf("%s", soak.summary().c_str());
    for (const auto &violation : violations)
        std::printf("violation at %s\n", violation.c_str());
    std::printf("%zu violations\n", violations.size());
    if (isTemporary && violations.empty())
        std::filesystem::remove_all(folder);
    else
        std::printf("logs in %s\n", folder.c_str());
    return violations.empty() ? 0 : 1;
}
