// A minion is lost for good that ran a lasting task which fills. Jobs that need the minions of the same label follow.

#include "starvation.h"

namespace bed
{

namespace
{

constexpr int minionCount = 18; ///< the last two have label b
constexpr int lastingCpu = 10000;
constexpr int jobCpu = 2000;
constexpr const char *service = "svc";

json job(const char *spec, json step)
{
    return {{"taskSpec", spec}, {"jobSteps", json::array({std::move(step)})}};
}

} // namespace

int playStarvation(Record &record, bool hasTrouble)
{
    Cell cell(record, 3, 2);
    RunLedger ledger;
    if (!cell.open())
        return 2;
    Minions minions;
    for (int i = 0; i < minionCount; ++i) {
        const bool isB = i >= minionCount - 2;
        minions.push_back(std::make_unique<Minion>(
            record, ledger, "i-" + std::string(isB ? "b" : "a") + std::to_string(i), cell.minionAddress(i),
            MinionKind{service, {isB ? "b" : "a", isB ? "r1-2" : "r1-1"}}, cell.controls()));
        if (!minions.back()->start())
            return 2;
    }
    if (cell.replaceConfiguration(configuration(7, service, {"/last/", "/batch/"}).dump()) != 200)
        return 2;
    std::this_thread::sleep_for(milliseconds(3000));

    // Two lasting tasks that fill, on the two minions with label b.
    const auto lasting = cell.newId();
    if (!cell.submit("/last/" + lasting,
                     job("lasts",
                         {{"count", 2},
                          {"cpu", lastingCpu},
                          {"memMb", 1024},
                          {"estimateMs", 1000},
                          {"longRunning", true},
                          {"fillCount", true},
                          {"requiredLabel", "b"}})))
        return 2;
    std::this_thread::sleep_for(milliseconds(3000));
    const auto begun = ledger.of(lasting);
    if (begun.size() != 2)
        return 2;

    const json batch
        = job("work=300", {{"count", 1}, {"cpu", jobCpu}, {"memMb", 512}, {"estimateMs", 300}, {"requiredLabel", "b"}});
    const auto before = cell.newId();
    if (!cell.submit("/batch/" + before, batch))
        return 2;
    std::this_thread::sleep_for(milliseconds(2000));
    if (cell.stateOf("/batch/" + before) != "completed")
        return 2;

    Minion &lost = *minions[minionCount - 1];
    if (hasTrouble)
        lost.crash();
    std::this_thread::sleep_for(milliseconds(10000));

    std::vector<std::string> jobs;
    for (int i = 0; i < 5; ++i) {
        jobs.push_back(cell.newId());
        if (!cell.submit("/batch/" + jobs.back(), batch))
            return 2;
        std::this_thread::sleep_for(milliseconds(400));
    }
    // The end of the traffic. finish_s later the jobs are asked for.
    constexpr int finishS = 14;
    std::this_thread::sleep_for(std::chrono::seconds(finishS));
    const auto from = record.seconds();
    int waiting = 0;
    for (const auto &id : jobs)
        waiting += cell.stateOf("/batch/" + id) == "queued" ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(3500));

    bool isBroken = false;
    const auto cpuOf = [&](const std::string &task) { return task.rfind(lasting + '.', 0) == 0 ? 0 : jobCpu; };
    int used = 0;
    int whole = 0;
    for (const auto &minion : minions) {
        used += minion->cpuInUse(cpuOf);
        whole += minion.get() == &lost && hasTrouble ? 0 : minion->kind().cpu;
    }
    const int there = minions[minionCount - 2]->kind().cpu - minions[minionCount - 2]->cpuInUse(cpuOf);
    record.line("in use in the service: " + std::to_string(used) + " of " + std::to_string(whole) + "; free on "
                + minions[minionCount - 2]->id() + ": " + std::to_string(there) + "; a job needs "
                + std::to_string(jobCpu));
    for (const auto &id : jobs) {
        const auto state = cell.stateOf("/batch/" + id);
        const bool hasRun = !ledger.of(id).empty();
        if (state != "completed" && !hasRun && there >= 2 * jobCpu && 2 * used < whole) {
            isBroken = true;
            record.line("LOST: job " + id + " is " + state + " and has had nothing running from " + std::to_string(from)
                        + " on, for 3.5 s, later than finish_s after the end of the traffic");
        }
    }
    // A lasting task has to run again 6 s after its last run at the latest; 3 s more are allowed. Its cores aren't
    // counted.
    int atWork = 0;
    double lastEnd = 0;
    for (const auto &run : ledger.of(lasting)) {
        atWork += run.endedAt < 0 ? 1 : 0;
        lastEnd = std::max(lastEnd, run.endedAt);
    }
    if (atWork < 2 && record.seconds() > lastEnd + 9) {
        isBroken = true;
        record.line("LOST: " + std::to_string(2 - atWork) + " of 2 lasting tasks has had nothing running since "
                    + std::to_string(lastEnd));
    }
    record.line("jobs queued at first: " + std::to_string(waiting));
    for (auto &minion : minions)
        minion->crash();
    return isBroken ? 1 : 0;
}

} // namespace bed
