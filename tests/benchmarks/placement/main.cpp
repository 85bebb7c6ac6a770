#include "cellreplay.h"

#include <valgrind/callgrind.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>

using namespace Pistachio;
using namespace Pistachio::Replay;

namespace
{

// Targets of the design page, sections 1.2 and 1.3.
constexpr Duration maxUrgentWait = 3700ms;
constexpr double minAcceleratorShare = 0.95;
constexpr Duration largeCellMeanRun = 44s;

bool check(bool passed, const std::string &what)
{
    std::printf("  %s: %s\n", passed ? "held" : "NOT HELD", what.c_str());
    return passed;
}

Measurements replay(const Workload &workload)
{
    return CellReplay(workload, [](bool) {}).run();
}

void printBaselines(const Workload &workload)
{
    runBaseline(workload, Baseline::FirstFit).print("first fit in order of arrival");
    runBaseline(workload, Baseline::BestFit).print("best fit without reservations");
}

bool checkCommon(const Measurements &result)
{
    bool passed = check(result.longestWait("batch urgent") <= maxUrgentWait, "urgent work starts within 3.7 s");
    passed &= check(result.quarantines == 0, "no healthy worker is quarantined");
    return passed;
}

bool runUsers(std::uint64_t seed)
{
    bool passed = true;
    for (const Workload &workload : {lindqvistNight(seed), tauhereNight(seed + 1)}) {
        const Measurements result = replay(workload);
        result.print("scheduler");
        passed &= checkCommon(result);
        passed &= check(result.gangsWaiting == 0, "every gang of the night has run");
        passed &= check(result.acceleratorShareOfBound() >= minAcceleratorShare,
                        "accelerators in use at 95% of the volume bound");
        passed &= check(result.tasksWaiting > 0, "enough work waited for the bound to apply");
        printBaselines(workload);
    }
    return passed;
}

bool runLarge(std::uint32_t workers, Duration length, double load)
{
    const Workload workload = largeCell(3, workers, length, load);
    const Measurements result = replay(workload);
    result.print("scheduler");
    bool passed = checkCommon(result);
    // In an overloaded cell every wait grows, but smaller work of the same standing must not starve a gang. One mean
    // run time is allowed for the resources of a whole gang to become free.
    passed &= check(result.longestWait("gang normal") <= result.longestWait("batch normal") + largeCellMeanRun,
                    "gangs wait no longer than single tasks of their standing and one run");
    for (const char *group : {"gang normal", "batch normal", "batch spare"})
        std::printf("  longest wait, %s: %.2f s\n", group,
                    std::chrono::duration<double>(result.longestWait(group)).count());
    // Without overload all work fits, so only the loss of the rack may delay a gang.
    if (load <= 1)
        passed &= check(result.gangsWaiting == 0, "no gang waits at the end");
    printBaselines(workload);
    return passed;
}

/// Toggles the counting of callgrind around calls of the scheduler; to be run with --collect-atstart=no, so that only
/// the scheduler's instructions are counted.
void runCounted(std::uint32_t workers, Duration length, double load)
{
    const Workload workload = largeCell(3, workers, length, load);
    const Measurements result = CellReplay(workload, [](bool) { CALLGRIND_TOGGLE_COLLECT; }).run();
    std::printf("waiting at the end %llu\n", static_cast<unsigned long long>(result.tasksWaiting));
    std::printf("decisions %llu\n", static_cast<unsigned long long>(result.decisions));
}

} // namespace

int main(int argc, char **argv)
{
    const std::string mode = argc > 1 ? argv[1] : "";
    const auto workers = static_cast<std::uint32_t>(argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 850);
    const auto length = std::chrono::seconds(argc > 3 ? std::strtol(argv[3], nullptr, 10) : 600);
    const double load = argc > 4 ? std::strtod(argv[4], nullptr) : 1.0;
    if (mode == "users")
        return runUsers(argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 1) ? 0 : 1;
    if (mode == "large")
        return runLarge(workers, length, load) ? 0 : 1;
    if (mode == "count") {
        runCounted(workers, length, load);
        return 0;
    }
    std::cerr << "usage: placement-replay users [seed] | large [workers] [seconds] [load] | count [workers] [seconds] "
                 "[load]\n";
    return 2;
}
