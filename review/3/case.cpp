// A minion that leaves sends its deregistration to a control machine that is frozen. It ends without a confirmation and
// starts again under its id. When the machine wakes, the deregistration of the life before ends the runs of this one.

#include "cell.h"
#include "minion.h"

#include <signal.h>

using namespace Review;

namespace
{

constexpr int minionCount = 6;
constexpr int tasks = 10;
constexpr std::int64_t workMs = 20'000;
constexpr std::int64_t drainMs = 2500; ///< SYSTEM: drainMs
constexpr std::int64_t freezeMs = 6000;
constexpr std::int64_t confirmationLimitMs = 1000;
constexpr std::int64_t endsAnywayMs = 2000; ///< PROTOCOL: "some seconds later"
constexpr std::int64_t restartMs = 300;

int play(const std::string &folder)
{
    Record record(folder + "/record.txt");
    RunWatch watch(record);
    Cell cell(record, 3, 2);
    cell.startAll();
    Minion::Options options;
    options.workMs = [](const std::string &, std::uint64_t) { return workMs; };
    auto minions = startMinions(cell, record, watch, minionCount, options);
    const auto state = desiredState(1, {route("r-1", "/lohu930/", "huvo11a", 3)}, {"huvo11a"});
    if (minions.empty() || !cell.configure(state, 20'000))
        return CouldNotRun;
    sleepMs(4000);
    auto &minion = *minions.front();
    minion.drain();
    sleepMs(drainMs);
    // The minion's status reports and its deregistration go to the control instance that answered the last one.
    const auto frozen = minion.control();
    const auto frozenAt = nowMs();
    if (hasTrouble())
        cell.signal(frozen, SIGSTOP);
    if (!minion.deregister(confirmationLimitMs))
        sleepMs(endsAnywayMs);
    minion.crash();
    sleepMs(restartMs);
    if (!minion.start())
        return CouldNotRun;
    sleepMs(2000);
    const auto id = newJobId();
    if (cell.submit("/lohu930/" + id, oneStepJob(id, tasks, 1500, 1600, 20'000)) != 200)
        return CouldNotRun;
    if (hasTrouble()) {
        sleepMs(frozenAt + freezeMs - nowMs());
        record.line("its runs: " + std::to_string(minion.active()));
        cell.signal(frozen, SIGCONT);
    }
    sleepMs(4000);
    const auto violations = watch.violations();
    record.line(std::to_string(watch.starts()) + " starts; tasks run twice: " + std::to_string(violations.size()));
    minions.clear();
    return violations.empty() ? Held : Broken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
