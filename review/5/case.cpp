// An entry is cut off from the control instances while consumers hand in jobs, and meanwhile the operator removes the
// queue. Jobs that were accepted before the removal, without an answer, run; their consumers are told that there is no
// such queue.

#include "cell.h"
#include "minion.h"

#include <algorithm>
#include <memory>

using namespace Review;

namespace
{

constexpr int entries = 6; ///< one of six is cut off: a share of 0.17
constexpr int consumers = 8;
constexpr int minionCount = 4;
constexpr int rounds = 3;
constexpr std::int64_t beforeCutMs = 1500;
constexpr std::int64_t removalAfterMs = 300;
constexpr std::int64_t cutMs = 2000;
constexpr std::int64_t afterMs = 4000;
constexpr int attempts = 5; ///< SYSTEM: "consumer's retries" 4

int play(const std::string &folder)
{
    Record record(folder + "/record.txt");
    RunWatch watch(record);
    Cell cell(record, 3, entries, true);
    const auto proxies = proxiesOf(cell, {cell.instance(cell.controls()).bindIp});
    if (proxies.empty())
        return CouldNotRun;
    // The entries are behind their own proxies, which stay open; those of the control instances come first.
    const std::size_t controlProxies = 2 * cell.controls();
    cell.startAll();
    Minion::Options options;
    options.workMs = [](const std::string &, std::uint64_t) { return 200; };
    auto minions = startMinions(cell, record, watch, minionCount, options);
    if (minions.empty())
        return CouldNotRun;
    const auto kept = route("r-1", "/lohu930/", "huvo11a", 3);
    const auto removed = route("r-2", "/pufi791/", "huvo11a", 3);
    int version = 1;
    if (!cell.configure(desiredState(version, {kept, removed}, {"huvo11a"}), 20'000))
        return CouldNotRun;
    std::size_t brokenJobs = 0;
    for (int round = 0; round < rounds; ++round) {
        sleepMs(4000);
        std::mutex mutex;
        std::map<std::string, std::vector<int>> answers;
        std::atomic<bool> isOver = false;
        std::vector<std::thread> threads;
        for (int number = 0; number < consumers; ++number) {
            threads.emplace_back([&] {
                while (!isOver) {
                    const auto id = newJobId();
                    const auto job = oneStepJob(id, 1, 100, 16, 200);
                    for (int attempt = 0; attempt < attempts; ++attempt) {
                        // Retries reach other nodes.
                        const auto status
                            = cell.consumer(static_cast<std::size_t>(attempt), "POST", "/pufi791/" + id, job).status;
                        record.line("POST /pufi791/" + id + " at frontend-" + std::to_string(attempt + 1) + ": "
                                    + std::to_string(status));
                        const std::lock_guard lock(mutex);
                        answers[id].push_back(status);
                        if (status != 0 && status != 502 && status != 504)
                            break;
                    }
                    sleepMs(10);
                }
            });
        }
        sleepMs(beforeCutMs);
        const auto setCut = [&](bool isCut) {
            for (std::size_t index = 0; index < controlProxies; ++index) {
                proxies[index]->holdRequests(isCut);
                proxies[index]->holdAnswers(isCut);
            }
            record.line(std::string("frontend-1 is ") + (isCut ? "cut off from" : "connected to")
                        + " the control instances");
        };
        if (hasTrouble())
            setCut(true);
        sleepMs(removalAfterMs);
        if (!cell.configure(desiredState(++version, {kept}, {"huvo11a"}), 5000))
            return CouldNotRun;
        sleepMs(cutMs - removalAfterMs);
        if (hasTrouble())
            setCut(false);
        isOver = true;
        for (auto &thread : threads)
            thread.join();
        sleepMs(afterMs);
        for (const auto &[id, statuses] : answers) {
            const bool isRejected = std::all_of(statuses.begin(), statuses.end(), [](int status) {
                return status >= 400 && status != 502 && status != 504;
            });
            if (!isRejected || !watch.hasBegun(id))
                continue;
            ++brokenJobs;
            record.line("BROKEN REFUSED: " + id + " has run, and its only answers were rejections, the last "
                        + std::to_string(statuses.back()));
        }
        // The queue comes back for the next round.
        if (!cell.configure(desiredState(++version, {kept, removed}, {"huvo11a"}), 5000))
            return CouldNotRun;
    }
    record.line("jobs that ran and were rejected: " + std::to_string(brokenJobs));
    minions.clear();
    return brokenJobs == 0 ? Held : Broken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
