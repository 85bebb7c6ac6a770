#include "journal.h"
#include "workersession.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(std::string, worker, "worker", "identifier; with --count above 1 a number is appended");
ABSL_FLAG(int, count, 1, "how many workers this process plays");
ABSL_FLAG(std::string, zone, "", "availability zone");
ABSL_FLAG(std::string, rack, "rack-1", "rack");
ABSL_FLAG(std::vector<std::string>, control, {}, "worker ports of the control instances, <ip>:<port>,...");
ABSL_FLAG(int, cores, 16, "capacity in cores");
ABSL_FLAG(int, memory_mb, 32768, "capacity in MiB");
ABSL_FLAG(int, accelerators, 0, "capacity in accelerators");
ABSL_FLAG(int, run_ms, 0, "run time of tasks whose command names none; 0: until stopped");
ABSL_FLAG(bool, fail_all, false, "fail every task at its start");
ABSL_FLAG(std::string, journal, "", "file to which starts and stops are appended");

namespace
{

using namespace Pistachio;

constexpr Duration tickInterval = 10ms;
constexpr Duration leaveLimit = 20s;
constexpr std::int64_t milliCoresPerCore = 1000;

int fail(const std::string &message)
{
    std::fprintf(stderr, "standin-worker: %s\n", message.c_str());
    return 1;
}

StandinWorker::SessionOptions options(const std::vector<Transport::Endpoint> &control, int number)
{
    StandinWorker::SessionOptions result;
    auto name = absl::GetFlag(FLAGS_worker);
    if (absl::GetFlag(FLAGS_count) > 1)
        name += '-' + std::to_string(number);
    result.worker = WorkerId(name);
    result.zone = absl::GetFlag(FLAGS_zone);
    result.rack = absl::GetFlag(FLAGS_rack);
    result.capacity
        = {absl::GetFlag(FLAGS_cores) * milliCoresPerCore,
           static_cast<std::int64_t>(absl::GetFlag(FLAGS_memory_mb)) << 20, absl::GetFlag(FLAGS_accelerators)};
    result.control = control;
    result.tasks.defaultRunTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_run_ms));
    result.tasks.failsAll = absl::GetFlag(FLAGS_fail_all);
    return result;
}

/// Runs the workers until they have left after a signal.
class Program
{
public:
    Program(const std::vector<Transport::Endpoint> &control, const StandinWorker::Journal &journal)
    {
        for (int number = 1; number <= absl::GetFlag(FLAGS_count); ++number)
            sessions_.push_back(
                std::make_unique<StandinWorker::WorkerSession>(loop_, options(control, number), journal));
    }

    void run()
    {
        loop_.onSignals({SIGTERM, SIGINT}, [this](int) { leave(); });
        tick();
        loop_.run();
    }

private:
    void tick()
    {
        for (const auto &session : sessions_)
            session->tick();
        if (leaving_ && std::all_of(sessions_.begin(), sessions_.end(), [](const auto &s) { return s->hasLeft(); }))
            loop_.stop();
        timer_ = loop_.callAfter(tickInterval, [this] { tick(); });
    }

    void leave()
    {
        leaving_ = true;
        for (const auto &session : sessions_)
            session->leave();
        // The process ends even when no leader answers; its tasks end with it.
        limit_ = loop_.callAfter(leaveLimit, [this] { loop_.stop(); });
    }

    Transport::EventLoop loop_;
    std::vector<std::unique_ptr<StandinWorker::WorkerSession>> sessions_;
    Transport::Timer timer_;
    Transport::Timer limit_;
    bool leaving_ = false;
};

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Plays workers of a Pistachioworks cell; tasks are entries in memory.");
    absl::ParseCommandLine(argc, argv);
    std::vector<Transport::Endpoint> control;
    for (const auto &text : absl::GetFlag(FLAGS_control)) {
        const auto endpoint = Transport::Endpoint::parse(text);
        if (!endpoint)
            return fail(endpoint.error().message);
        control.push_back(endpoint.value());
    }
    if (control.empty())
        return fail("--control=<ip>:<port>,... is missing");
    StandinWorker::Journal journal;
    if (const auto opened = journal.open(absl::GetFlag(FLAGS_journal)); !opened)
        return fail(opened.error().message);
    Program(control, journal).run();
    return 0;
}
