#include "minion.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(std::string, minion, "minion", "identifier; with --count above 1 a number is appended");
ABSL_FLAG(int, count, 1, "how many minions this process plays");
ABSL_FLAG(std::string, service, "ordering", "the service it runs");
ABSL_FLAG(std::vector<std::string>, entries, {}, "minions' ports of entries, <ip>:<port>,...");
ABSL_FLAG(int, slots, 8, "requests run at the same time");
ABSL_FLAG(int, connections, 64, "connections accepted");
ABSL_FLAG(int, work_ms, 10, "run time of a request");
ABSL_FLAG(int, fail_percent, 0, "share of requests answered with 500");
ABSL_FLAG(int, truncate_percent, 0, "share of answers cut in the middle");

int main(int argc, char **argv)
{
    using namespace Pistachio;
    absl::SetProgramUsageMessage("A stand-in for minions. Prints its counts as JSON when it has left after SIGTERM.");
    absl::ParseCommandLine(argc, argv);
    StandinMinion::Options options;
    options.service = absl::GetFlag(FLAGS_service);
    options.slots = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_slots));
    options.connections = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_connections));
    options.workTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_work_ms));
    options.failPercent = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_fail_percent));
    options.truncatePercent = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_truncate_percent));
    for (const std::string &text : absl::GetFlag(FLAGS_entries)) {
        const auto entry = Transport::Endpoint::parse(text);
        if (!entry) {
            std::fprintf(stderr, "standin-minion: %s\n", entry.error().message.c_str());
            return 1;
        }
        options.entries.insert(entry.value());
    }

    Transport::EventLoop loop;
    std::vector<std::unique_ptr<StandinMinion::Minion>> minions;
    std::size_t stopped = 0;
    const int count = absl::GetFlag(FLAGS_count);
    for (int number = 1; number <= count; ++number) {
        options.id = absl::GetFlag(FLAGS_minion) + (count > 1 ? '-' + std::to_string(number) : std::string());
        minions.push_back(std::make_unique<StandinMinion::Minion>(loop, options, [&] {
            if (++stopped == minions.size())
                loop.stop();
        }));
        if (const auto port = minions.back()->start(); !port) {
            std::fprintf(stderr, "standin-minion: %s\n", port.error().message.c_str());
            return 1;
        }
    }
    loop.onSignals({SIGTERM, SIGINT}, [&minions](int) {
        for (const auto &minion : minions)
            minion->leave();
    });
    loop.run();
    for (const auto &minion : minions)
        std::printf("%s\n", minion->report().c_str());
    return 0;
}
