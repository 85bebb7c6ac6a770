// A configuration removes a route under whose prefix a job was accepted. Another route has a shorter prefix of the same
// path.

#include "removedroute.h"

namespace bed
{

namespace
{
constexpr const char *service = "svc";
}

int playRemovedRoute(Record &record, bool hasTrouble)
{
    Cell cell(record, 3, 2);
    RunLedger ledger;
    if (!cell.open())
        return 2;
    Minions minions;
    if (!startMinions(minions, record, ledger, cell, 4, service))
        return 2;
    if (cell.replaceConfiguration(configuration(7, service, {"/cufi504/", "/cufi504/fi50/"}).dump()) != 200)
        return 2;
    std::this_thread::sleep_for(milliseconds(3000));
    const auto id = cell.newId();
    const auto path = "/cufi504/fi50/" + id;
    const json step{{"count", 1}, {"cpu", 1000}, {"memMb", 512}, {"estimateMs", 20000}};
    if (!cell.submit(path, {{"taskSpec", "work=20000"}, {"jobSteps", json::array({step})}}))
        return 2;
    constexpr milliseconds visible(3000);
    std::this_thread::sleep_for(visible + milliseconds(500));
    if (cell.stateOf(path) != "running")
        return 2;

    auto next = configuration(9, service, {"/cufi504/", "/cufi504/fi50/"});
    if (hasTrouble)
        next["routes"].erase(1);
    else
        next["routes"][1]["timeoutMs"] = 2500;
    if (cell.replaceConfiguration(next.dump()) != 200)
        return 2;
    constexpr milliseconds configApply(2500);
    std::this_thread::sleep_for(configApply + milliseconds(500));
    bool isBroken = false;
    for (int i = 0; i < 4; ++i) {
        const auto state = cell.stateOf(path);
        const auto runs = ledger.of(id);
        const bool works = !runs.empty() && runs.back().endedAt < 0;
        if (state == "410" && works) {
            isBroken = true;
            record.line("LOST: a GET for the accepted job is answered 410, and its task is at work on "
                        + runs.back().minion);
        }
        std::this_thread::sleep_for(milliseconds(500));
    }
    if (hasTrouble)
        cell.request("DELETE", path, {});
    std::this_thread::sleep_for(milliseconds(500));
    for (auto &minion : minions)
        minion->crash();
    return isBroken ? 1 : 0;
}

} // namespace bed
