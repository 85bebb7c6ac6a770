// Minions crash, one at a time, and start again at once under the id that they had, while short jobs are handed in.

#include "rebirth.h"

#include <algorithm>

namespace bed
{

namespace
{

constexpr const char *service = "svc";
constexpr int minionCount = 8;
constexpr milliseconds downTime(300); ///< from the crash until it listens again
constexpr int heartbeatMs = 1500; ///< the first report of a life comes within one interval
constexpr milliseconds betweenCrashes(1500);

/// \return the minion that began the last run.
std::size_t busiest(RunLedger &ledger, const Minions &minions)
{
    const auto runs = ledger.all();
    const auto found = std::find_if(minions.begin(), minions.end(), [&](const auto &minion) {
        return !runs.empty() && minion->id() == runs.back().minion;
    });
    return found == minions.end() ? 0 : static_cast<std::size_t>(found - minions.begin());
}

/// \return whether a run of the task began after an earlier one had ended done and that end had been taken note of.
bool reportTwice(Record &record, const std::vector<RunEvent> &runs)
{
    std::map<std::string, std::vector<RunEvent>> byTask;
    for (const auto &run : runs)
        byTask[run.task].push_back(run);
    bool result = false;
    for (const auto &[task, all] : byTask) {
        for (const auto &first : all) {
            if (first.how != "done" || first.notedAt < 0)
                continue;
            for (const auto &second : all) {
                if (second.beganAt <= first.endedAt)
                    continue;
                result = true;
                record.line("TWICE: " + task + " run " + std::to_string(first.run) + " ended done on " + first.minion
                            + " (born " + std::to_string(first.born) + ") at " + std::to_string(first.endedAt)
                            + ", ackCursor reached that end at " + std::to_string(first.notedAt) + "; run "
                            + std::to_string(second.run) + " began on " + second.minion + " at "
                            + std::to_string(second.beganAt));
            }
        }
    }
    return result;
}

} // namespace

int playRebirth(Record &record, bool hasTrouble)
{
    Cell cell(record, 3, 2);
    RunLedger ledger;
    if (!cell.open())
        return 2;
    Minions minions;
    if (!startMinions(minions, record, ledger, cell, minionCount, service))
        return 2;
    if (cell.replaceConfiguration(configuration(7, service, {"/batch/"}).dump()) != 200)
        return 2;
    std::this_thread::sleep_for(milliseconds(3000));

    constexpr double trafficS = 60;
    const double end = record.seconds() + trafficS;
    std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> phaseMs(0, heartbeatMs - 1);
    std::vector<std::string> jobs;
    std::atomic<bool> isFailed = false;
    std::thread caller([&] {
        while (record.seconds() < end) {
            jobs.push_back(cell.newId());
            const json step{{"count", 8}, {"cpu", 1500}, {"memMb", 512}, {"estimateMs", 200}};
            if (!cell.submit("/batch/" + jobs.back(), {{"taskSpec", "work=150"}, {"jobSteps", json::array({step})}}))
                isFailed = true;
            std::this_thread::sleep_for(milliseconds(120));
        }
    });
    int crashes = 0;
    while (record.seconds() < end - 3) {
        std::this_thread::sleep_for(betweenCrashes);
        if (!hasTrouble)
            continue;
        auto &minion = *minions[busiest(ledger, minions)];
        minion.crashAtNextStart();
        for (int waited = 0; !minion.hasStopped() && waited < 1500; ++waited)
            std::this_thread::sleep_for(milliseconds(1));
        minion.crashAtNextStart(false);
        if (!minion.hasStopped())
            continue;
        minion.crash();
        std::this_thread::sleep_for(downTime);
        const milliseconds firstReport(phaseMs(random));
        record.line("minion " + minion.id() + " will report first " + std::to_string(firstReport.count())
                    + " ms after it listens again");
        if (!minion.start(firstReport)) {
            isFailed = true;
            break;
        }
        ++crashes;
    }
    caller.join();
    std::this_thread::sleep_for(milliseconds(9000));
    const auto runs = ledger.all();
    const bool isBroken = reportTwice(record, runs);
    int completed = 0;
    for (const auto &id : jobs)
        completed += cell.stateOf("/batch/" + id) == "completed" ? 1 : 0;
    record.line(std::to_string(crashes) + " crashes, " + std::to_string(runs.size()) + " runs, "
                + std::to_string(completed) + " of " + std::to_string(jobs.size()) + " jobs completed");
    for (auto &minion : minions)
        minion->crash();
    return isBroken ? 1 : isFailed ? 2 : 0;
}

} // namespace bed
