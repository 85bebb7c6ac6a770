// Another writer sends status reports about the minions that name a service which the configuration doesn't have.

#include "otherwriter.h"

namespace bed
{

namespace
{

constexpr const char *service = "svc";
constexpr int minionCount = 4;
constexpr int jobCpu = 2000;

} // namespace

int playOtherWriter(Record &record, bool hasTrouble)
{
    Cell cell(record, 3, 2);
    RunLedger ledger;
    if (!cell.open())
        return 2;
    Minions minions;
    if (!startMinions(minions, record, ledger, cell, minionCount, service))
        return 2;
    if (cell.replaceConfiguration(configuration(7, service, {"/last/", "/batch/"}).dump()) != 200)
        return 2;
    std::this_thread::sleep_for(milliseconds(3000));

    const auto lasting = cell.newId();
    const json lastingStep{{"count", 2}, {"cpu", 1000}, {"memMb", 512}, {"estimateMs", 1000}, {"longRunning", true}};
    if (!cell.submit("/last/" + lasting, {{"taskSpec", "lasts"}, {"jobSteps", json::array({lastingStep})}}))
        return 2;
    const json batchStep{{"count", 1}, {"cpu", jobCpu}, {"memMb", 512}, {"estimateMs", 300}};
    const json batch{{"taskSpec", "work=300"}, {"jobSteps", json::array({batchStep})}};
    const auto before = cell.newId();
    if (!cell.submit("/batch/" + before, batch))
        return 2;
    std::this_thread::sleep_for(milliseconds(3000));
    if (ledger.of(lasting).size() != 2 || cell.stateOf("/batch/" + before) != "completed")
        return 2;

    std::atomic<bool> isOver = false;
    std::thread writer([&] {
        const auto born
            = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        for (int sequence = 1; hasTrouble && !isOver; ++sequence) {
            for (const auto &minion : minions) {
                const json body{{"service", "retired"},
                                {"address", minion->address().text()},
                                {"zone", "svea-a"},
                                {"version", "v0"},
                                {"slots", 8},
                                {"state", "ready"},
                                {"coldLeftMs", 0},
                                {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpu", 0}}},
                                {"labels", {"a", "r1-1"}},
                                {"clockMs", 1000},
                                {"born", born},
                                {"sequence", sequence}};
                const auto response
                    = call(cell.controls()[0], "POST", "/pistachioworks/instances/" + minion->id() + "/heartbeat", {},
                           body.dump(), milliseconds(1000));
                record.line("another writer reports " + minion->id() + ' ' + body.dump() + " -> "
                            + std::to_string(response.status));
            }
            for (int i = 0; i < 15 && !isOver; ++i)
                std::this_thread::sleep_for(milliseconds(100));
        }
    });
    std::this_thread::sleep_for(milliseconds(6000));
    std::vector<std::string> jobs;
    for (int i = 0; i < 5; ++i) {
        jobs.push_back(cell.newId());
        if (!cell.submit("/batch/" + jobs.back(), batch))
            break;
        std::this_thread::sleep_for(milliseconds(400));
    }
    // The end of the traffic. finish_s later the jobs are asked for.
    constexpr int finishS = 14;
    std::this_thread::sleep_for(std::chrono::seconds(finishS));
    const auto from = record.seconds();
    for (const auto &id : jobs)
        cell.stateOf("/batch/" + id);
    std::this_thread::sleep_for(milliseconds(3500));
    bool isBroken = false;
    const auto runs = ledger.all();
    for (const auto &id : jobs) {
        const auto state = cell.stateOf("/batch/" + id);
        if (state != "completed" && ledger.of(id).empty()) {
            isBroken = true;
            record.line("LOST: job " + id + " is " + state + " and has had nothing running from " + std::to_string(from)
                        + " on, for 3.5 s, later than finish_s after the end of the traffic; all minions are empty");
        }
    }
    int atWork = 0;
    double lastEnd = 0;
    for (const auto &run : ledger.of(lasting)) {
        atWork += run.endedAt < 0 ? 1 : 0;
        lastEnd = std::max(lastEnd, run.endedAt);
        record.line("lasting task " + run.task + " run " + std::to_string(run.run) + " on " + run.minion + " from "
                    + std::to_string(run.beganAt)
                    + (run.endedAt < 0 ? " on" : " to " + std::to_string(run.endedAt) + ", " + run.how));
    }
    if (atWork < 2 && record.seconds() > lastEnd + 9) {
        isBroken = true;
        record.line("LOST: " + std::to_string(2 - atWork) + " lasting tasks have had nothing running for over 9 s");
    }
    isOver = true;
    writer.join();
    for (auto &minion : minions)
        minion->crash();
    return isBroken ? 1 : 0;
}

} // namespace bed
