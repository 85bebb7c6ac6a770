// A minion that leaves is cut off one way, so that its deregistration arrives but its confirmation doesn't. It ends
// some seconds later, as PROTOCOL says, and works until then.

#include "cell.h"
#include "minion.h"

#include <memory>

using namespace Review;

namespace
{

constexpr int tasks = 6;
constexpr int minionCount = 6;
constexpr std::int64_t workMs = 20'000;
constexpr std::int64_t drainMs = 2500; ///< SYSTEM: drainMs
constexpr std::int64_t lingerMs = 1000; ///< PROTOCOL: "and a little longer"
constexpr std::int64_t cutBeforeMs = 300;
constexpr std::int64_t confirmationLimitMs = 1000;
constexpr std::int64_t endsAnywayMs = 2000; ///< PROTOCOL: "some seconds later"

int play(const std::string &folder)
{
    Record record(folder + "/record.txt");
    RunWatch watch(record);
    Cell cell(record, 3, 2, true);
    // What the control instances send to the minion that leaves passes these and a proxy of its own.
    const auto proxies = proxiesOf(cell, {cell.address(4, 1)});
    if (proxies.empty())
        return CouldNotRun;
    cell.startAll();
    if (!cell.configure(desiredState(1, {route("r-1", "/lohu930/", "huvo11a", 3)}, {"huvo11a"}), 20'000))
        return CouldNotRun;
    std::vector<std::unique_ptr<Minion>> minions;
    std::vector<std::unique_ptr<Proxy>> minionProxies;
    const auto add = [&](int number) {
        Minion::Options options;
        options.id = "i-" + std::to_string(number);
        options.ip = cell.address(4, number);
        options.bindIp = cell.address(5, number);
        options.workMs = [](const std::string &, std::uint64_t) { return workMs; };
        minions.push_back(std::make_unique<Minion>(cell, record, watch, options));
        minionProxies.push_back(std::make_unique<Proxy>());
        return minionProxies.back()->listen(options.ip, minions.back()->port(), options.bindIp, minions.back()->port())
            && minions.back()->start();
    };
    if (!add(1))
        return CouldNotRun;
    sleepMs(4000);
    const auto id = newJobId();
    if (cell.submit("/lohu930/" + id, oneStepJob(id, tasks, 1500, 1600, 20'000)) != 200)
        return CouldNotRun;
    auto &leaving = *minions.front();
    const auto until = nowMs() + 10'000;
    while (leaving.active() < tasks && nowMs() < until)
        sleepMs(5);
    if (leaving.active() < tasks)
        return CouldNotRun;
    // One of six is cut off: a share of 0.17.
    for (int number = 2; number <= minionCount; ++number) {
        if (!add(number))
            return CouldNotRun;
    }
    sleepMs(2000);
    leaving.drain();
    sleepMs(drainMs + lingerMs - cutBeforeMs);
    if (hasTrouble()) {
        record.line("the way from the control instances to " + leaving.id() + " is cut");
        minionProxies.front()->holdRequests(true);
        for (auto &proxy : proxies)
            proxy->holdAnswers(true);
    }
    sleepMs(cutBeforeMs);
    if (!leaving.deregister(confirmationLimitMs))
        sleepMs(endsAnywayMs);
    leaving.crash();
    sleepMs(1000);
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
