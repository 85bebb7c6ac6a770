// A minion is lost for good, so that a gang which needs all minions can't start. Small jobs and a smaller gang follow
// it. Not a case of the review: the jobs begin in the end. See the report, entry of issue 34.

#include "hopelessgang.h"

namespace bed
{

namespace
{

constexpr const char *service = "svc";
constexpr int minionCount = 7;
constexpr int jobCpu = 2000;

} // namespace

int playHopelessGang(Record &record, bool hasTrouble)
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
    if (hasTrouble)
        minions.back()->crash();
    std::this_thread::sleep_for(milliseconds(6000));

    const json member{{"count", minionCount}, {"cpu", 15000}, {"memMb", 1024}, {"estimateMs", 30000}, {"gang", true}};
    const auto gang = cell.newId();
    if (!cell.submit("/batch/" + gang, {{"taskSpec", "gang=1000/7"}, {"jobSteps", json::array({member})}}))
        return 2;
    std::this_thread::sleep_for(milliseconds(1000));
    const json step{{"count", 1}, {"cpu", jobCpu}, {"memMb", 512}, {"estimateMs", 30000}};
    std::vector<std::string> jobs;
    for (int i = 0; i < 5; ++i) {
        jobs.push_back(cell.newId());
        if (!cell.submit("/batch/" + jobs.back(), {{"taskSpec", "work=1000"}, {"jobSteps", json::array({step})}}))
            return 2;
        std::this_thread::sleep_for(milliseconds(200));
    }
    // A gang that fits on half of the minions that are left.
    jobs.push_back(cell.newId());
    const json fitting{{"count", 3}, {"cpu", 15000}, {"memMb", 1024}, {"estimateMs", 30000}, {"gang", true}};
    if (!cell.submit("/batch/" + jobs.back(), {{"taskSpec", "gang=1000/3"}, {"jobSteps", json::array({fitting})}}))
        return 2;
    // The end of the traffic. finish_s later the jobs are asked for.
    constexpr int finishS = 14;
    std::this_thread::sleep_for(std::chrono::seconds(finishS));
    const auto from = record.seconds();
    for (const auto &id : jobs)
        cell.stateOf("/batch/" + id);
    std::this_thread::sleep_for(milliseconds(3500));
    bool isBroken = false;
    for (const auto &id : jobs) {
        const auto state = cell.stateOf("/batch/" + id);
        if (state != "completed" && ledger.of(id).empty()) {
            isBroken = true;
            record.line("LOST: job " + id + " is " + state + " and has had nothing running from " + std::to_string(from)
                        + " on, for 3.5 s, later than finish_s after the end of the traffic; all minions are empty");
        }
    }
    if (!hasTrouble && cell.stateOf("/batch/" + gang) != "completed")
        return 2;
    for (int waited = 0; hasTrouble && waited < 60 && ledger.of(jobs.front()).empty(); ++waited)
        std::this_thread::sleep_for(milliseconds(1000));
    const auto runs = ledger.of(jobs.front());
    record.line(runs.empty() ? "the first small job has not begun by now"
                             : "the first small job began at " + std::to_string(runs.front().beganAt));
    for (auto &minion : minions)
        minion->crash();
    return isBroken ? 1 : 0;
}

} // namespace bed
