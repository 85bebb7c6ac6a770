#include "loadgenerator.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, entries, {}, "callers' ports of the entries, <ip>:<port>,...");
ABSL_FLAG(std::vector<std::string>, health, {}, "ports that serve /readyz, in the order of --entries");
ABSL_FLAG(std::string, service, "ordering", "the service to call");
ABSL_FLAG(int, requests, 1000, "how many requests; 0: until --seconds are over");
ABSL_FLAG(int, seconds, 60, "begin no request after this time");
ABSL_FLAG(int, parallel, 8, "callers at the same time");
ABSL_FLAG(int, pause_ms, 0, "pause of a caller between two requests");
ABSL_FLAG(int, non_idempotent_percent, 0, "share of requests that must not run twice");
ABSL_FLAG(int, timeout_ms, 10000, "time for each answer");

int main(int argc, char **argv)
{
    using namespace Pistachio;
    absl::SetProgramUsageMessage("Sends requests to entries, checks the answers and prints counts as JSON.\n"
                                 "SIGTERM ends it early. Exits with 0 when every request was answered correctly.");
    absl::ParseCommandLine(argc, argv);
    const auto callers = absl::GetFlag(FLAGS_entries);
    const auto health = absl::GetFlag(FLAGS_health);
    if (callers.empty() || callers.size() != health.size()) {
        std::fprintf(stderr, "load-generator: --entries and --health must name the same number of ports\n");
        return 2;
    }
    LoadGenerator::Options options;
    for (std::size_t index = 0; index < callers.size(); ++index) {
        const auto caller = Transport::Endpoint::parse(callers[index]);
        const auto ready = Transport::Endpoint::parse(health[index]);
        if (!caller || !ready) {
            std::fprintf(stderr, "load-generator: an address is not <ip>:<port>\n");
            return 2;
        }
        options.entries.push_back({caller.value(), ready.value()});
    }
    options.service = absl::GetFlag(FLAGS_service);
    options.requests = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_requests));
    options.time = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    options.parallel = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_parallel));
    options.pause = std::chrono::milliseconds(absl::GetFlag(FLAGS_pause_ms));
    options.nonIdempotentPercent = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_non_idempotent_percent));
    options.timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));

    Transport::EventLoop loop;
    LoadGenerator::LoadGenerator generator(loop, options, [&loop] { loop.stop(); });
    loop.onSignals({SIGTERM, SIGINT}, [&generator](int) { generator.stop(); });
    generator.start();
    loop.run();
    std::printf("%s\n", generator.report().c_str());
    return generator.succeeded() ? 0 : 1;
}
