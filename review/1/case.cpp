// One minion has many short tasks, and all control instances are killed and back within a second. More than 500 ends
// wait for the next leader, and the minion lists 500 at a time.

#include "cell.h"
#include "minion.h"

#include <signal.h>

#include <memory>

using namespace Review;

namespace
{

constexpr int jobs = 16;
constexpr int tasksPerJob = 50;
constexpr std::int64_t shortestWorkMs = 500;
constexpr std::int64_t workSpreadMs = 1000;
constexpr std::int64_t downMs = 900; ///< DEPLOY: "back within a second"
constexpr std::int64_t finishLimitMs = 40'000;

std::int64_t workOf(const std::string &task)
{
    return shortestWorkMs + static_cast<std::int64_t>(std::hash<std::string>{}(task) % workSpreadMs);
}

int play(const std::string &folder)
{
    Record record(folder + "/record.txt");
    RunWatch watch(record);
    Cell cell(record, 3, 2);
    cell.startAll();
    Minion::Options options;
    options.workMs = [](const std::string &task, std::uint64_t) { return workOf(task); };
    const auto minions = startMinions(cell, record, watch, 1, options);
    const auto state = desiredState(1, {route("r-1", "/lohu930/", "huvo11a", 3)}, {"huvo11a"});
    if (minions.empty() || !cell.configure(state, 20'000))
        return CouldNotRun;
    auto &minion = *minions.front();
    sleepMs(4000);
    std::vector<std::string> ids;
    for (int number = 0; number < jobs; ++number) {
        ids.push_back(newJobId());
        if (cell.submit("/lohu930/" + ids.back(), oneStepJob(ids.back(), tasksPerJob, 18, 32, 1000)) != 200)
            return CouldNotRun;
    }
    const auto until = nowMs() + 5000;
    while (watch.starts() < jobs * tasksPerJob && nowMs() < until)
        sleepMs(2);
    record.line(std::to_string(watch.starts()) + " starts of " + std::to_string(jobs * tasksPerJob) + " tasks");
    if (hasTrouble()) {
        for (std::size_t index = 0; index < cell.controls(); ++index)
            cell.signal(index, SIGKILL);
        for (std::size_t index = 0; index < cell.controls(); ++index)
            cell.kill(index);
        sleepMs(downMs);
        for (std::size_t index = 0; index < cell.controls(); ++index)
            cell.start(index);
    }
    // All ends are taken note of.
    const auto limit = nowMs() + finishLimitMs;
    std::int64_t quietSince = nowMs();
    while (nowMs() < limit && nowMs() < quietSince + 3000) {
        if (minion.active() > 0 || minion.unacknowledged() > 0)
            quietSince = nowMs();
        sleepMs(10);
    }
    for (const auto &id : ids) {
        const auto answer = cell.consumer(0, "GET", "/lohu930/" + id, nullptr);
        record.line("GET " + id + ": " + std::to_string(answer.status) + ' ' + answer.body.dump());
    }
    std::string counts;
    for (const auto &[how, count] : watch.endCounts())
        counts += ' ' + how + ' ' + std::to_string(count);
    const auto violations = watch.violations();
    record.line(std::to_string(watch.starts()) + " starts; ends:" + counts
                + "; tasks run twice: " + std::to_string(violations.size()));
    return violations.empty() ? Held : Broken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
