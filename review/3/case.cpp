// Minions crash and start again under their ids. A start that is repeated reaches the next life of the minion, which
// carries it out, while the task is started elsewhere.

#include "cell.h"
#include "minion.h"

#include <cstdio>
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
    std::vector<std::unique_ptr<Minion>> minions;
    for (int number = 1; number <= minionCount; ++number) {
        Minion::Options options;
        options.id = "i-" + std::to_string(number);
        options.service = "huvo11a";
        options.ip = cell.address(4, number);
        options.linkMs = linkMs;
        options.workMs = [](const std::string &task, std::uint64_t) {
            return 300 + static_cast<std::int64_t>(std::hash<std::string>{}(task) % 600);
        };
        minions.push_back(std::make_unique<Minion>(cell, record, watch, options));
        if (!minions.back()->start())
            return CouldNotRun;
    }
    if (!cell.configure(desiredState(1, {route("r-1", "/lohu930/", "huvo11a", 3)}, {"huvo11a"}), 20'000))
        return CouldNotRun;
    sleepMs(4000);
    std::mt19937 random(std::random_device{}());
    std::atomic<bool> isOver = false;
    std::thread consumer([&] {
        while (!isOver) {
            const auto id = newJobId();
            const json job{{"taskSpec", "name " + id},
                           {"jobSteps", {{{"count", 6}, {"cpu", 1500}, {"memMb", 1600}, {"estimateMs", 600}}}}};
            cell.submit("/lohu930/" + id, job);
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

int main(int, char **argv)
{
    const int verdict = play(argv[1]);
    std::printf("%s\n", verdict == Held ? "the rule held" : verdict == Broken ? "the rule was broken" : "could not run");
    return verdict;
}
