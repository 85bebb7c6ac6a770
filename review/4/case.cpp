// Minions crash and start again under their ids. A start that is repeated reaches the next life of the minion, which
// carries it out, while the task is started elsewhere.

#include "cell.h"
#include "minion.h"

#include <memory>
#include <random>

using namespace Review;

namespace
{

constexpr int minionCount = 8;
constexpr std::int64_t playMs = 80'000;
constexpr std::int64_t jobEveryMs = 60;
constexpr std::int64_t crashEveryMs = 1000;
constexpr std::int64_t startWaitMs = 1000;
constexpr std::int64_t linkMs = 8; ///< SYSTEM: "8 ms between regions", one way

int play(const std::string &folder)
{
    Record record(folder + "/record.txt");
    RunWatch watch(record);
    Cell cell(record, 3, 2);
    cell.startAll();
    Minion::Options options;
    options.linkMs = linkMs;
    options.workMs = [](const std::string &task, std::uint64_t) {
        return 300 + static_cast<std::int64_t>(std::hash<std::string>{}(task) % 600);
    };
    auto minions = startMinions(cell, record, watch, minionCount, options);
    if (minions.empty())
        return CouldNotRun;
    if (!cell.configure(desiredState(1, {route("r-1", "/lohu930/", "huvo11a", 3)}, {"huvo11a"}), 20'000))
        return CouldNotRun;
    sleepMs(4000);
    std::mt19937 random(std::random_device{}());
    std::atomic<bool> isOver = false;
    std::thread consumer([&] {
        while (!isOver) {
            const auto id = newJobId();
            cell.submit("/lohu930/" + id, oneStepJob(id, 6, 1500, 1600, 600));
            sleepMs(jobEveryMs);
        }
    });
    const auto until = nowMs() + playMs;
    while (nowMs() < until && watch.violations().empty()) {
        sleepMs(crashEveryMs);
        if (!hasTrouble())
            continue;
        // It crashes as a start arrives.
        auto &minion = *minions[random() % minions.size()];
        minion.failAtNextStart();
        const auto waitUntil = nowMs() + startWaitMs;
        while (!minion.hasFailedAtStart() && nowMs() < waitUntil)
            sleepMs(1);
        minion.crash();
        sleepMs(20 + static_cast<std::int64_t>(random() % 130));
        if (!minion.start())
            return CouldNotRun;
    }
    isOver = true;
    consumer.join();
    sleepMs(1500);
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
