// The operator sends a desired state whose routes are null.
// Not a case of the review any more; see the report.

#include "partconfiguration.h"

namespace bed
{

namespace
{
constexpr const char *service = "svc";
}

int playPartConfiguration(Record &record, bool hasTrouble)
{
    Cell cell(record, 3, 2);
    RunLedger ledger;
    if (!cell.open())
        return 2;
    Minions minions;
    if (!startMinions(minions, record, ledger, cell, 4, service))
        return 2;
    const auto whole = configuration(7, service, {"/batch/"});
    if (cell.replaceConfiguration(whole.dump()) != 200)
        return 2;
    std::this_thread::sleep_for(milliseconds(3000));
    const auto id = cell.newId();
    const json step{{"count", 1}, {"cpu", 1000}, {"memMb", 512}, {"estimateMs", 20000}};
    if (!cell.submit("/batch/" + id, {{"taskSpec", "work=20000"}, {"jobSteps", json::array({step})}}))
        return 2;
    std::this_thread::sleep_for(milliseconds(1000));
    if (cell.stateOf("/batch/" + id) != "running")
        return 2;

    bool isBroken = false;
    if (hasTrouble) {
        auto part = whole;
        part["version"] = 8;
        part["routes"] = nullptr;
        if (cell.replaceConfiguration(part.dump()) == 200) {
            isBroken = true;
            record.line("CONFIG: a desired state was acknowledged whose routes are null");
        }
    } else {
        auto next = whole;
        next["version"] = 8;
        next["routes"][0]["timeoutMs"] = 2500;
        if (cell.replaceConfiguration(next.dump()) != 200)
            return 2;
    }
    std::this_thread::sleep_for(milliseconds(3500));
    const auto state = cell.stateOf("/batch/" + id);
    const auto read = json::parse(cell.readConfiguration().body, nullptr, false);
    if (hasTrouble && read.is_object() && read.value("version", 0) == 8)
        record.line("CONFIG: it is in force, and the caller of an accepted job that runs gets " + state);
    for (auto &minion : minions)
        minion->crash();
    return isBroken ? 1 : 0;
}

} // namespace bed
