// A minion crashes and starts again under its id. A repeated start reaches its new life, which is then cut off and
// works on, and the leader is killed.

#include "silentlife.h"

namespace bed
{

namespace
{

constexpr const char *service = "svc";
constexpr int minionCount = 16;
constexpr milliseconds downTime(60);
constexpr milliseconds firstReport(700);
constexpr milliseconds cutTime(5500);
constexpr milliseconds killTime(3500);

bool reportTwice(Record &record, const std::vector<RunEvent> &runs)
{
    bool result = false;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = i + 1; j < runs.size(); ++j) {
            const auto &first = runs[i];
            const auto &second = runs[j];
            const auto firstEnd = first.endedAt < 0 ? record.seconds() : first.endedAt;
            if (first.task != second.task || first.minion == second.minion || second.beganAt >= firstEnd)
                continue;
            result = true;
            record.line("TWICE: " + first.task + " run " + std::to_string(first.run) + " works on " + first.minion
                        + " until " + std::to_string(firstEnd) + ", and run " + std::to_string(second.run)
                        + " works on " + second.minion + " from " + std::to_string(second.beganAt) + " on");
        }
    }
    return result;
}

/// \return the minion that crashed as it got the start, or null.
Minion *crashed(Minions &minions)
{
    for (int waited = 0; waited < 3000; ++waited) {
        for (auto &minion : minions) {
            if (minion->hasStopped())
                return minion.get();
        }
        std::this_thread::sleep_for(milliseconds(1));
    }
    return nullptr;
}

} // namespace

int playSilentLife(Record &record, bool hasTrouble)
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
    // By now the minions' clocks are ahead of that of a new life by more than the longest lease.
    std::this_thread::sleep_for(milliseconds(8000));

    // Whether the repeated start or a renewal comes first to the new life is up to chance, so there are several tries.
    constexpr int tries = 6;
    bool isBroken = false;
    bool hasMet = !hasTrouble;
    for (int number = 0; number < tries && !isBroken && !(hasTrouble && hasMet); ++number) {
        const auto leader = minions.front()->reportAddress();
        if (hasTrouble) {
            for (auto &minion : minions)
                minion->crashAtNextStart();
        }
        const json step{{"count", 1}, {"cpu", 2000}, {"memMb", 512}, {"estimateMs", 20000}};
        if (!cell.submit("/batch/" + cell.newId(), {{"taskSpec", "work=20000"}, {"jobSteps", json::array({step})}}))
            return 2;
        if (!hasTrouble)
            break;
        auto *victim = crashed(minions);
        for (auto &minion : minions)
            minion->crashAtNextStart(false);
        if (!victim)
            return 2;
        victim->crash();
        std::this_thread::sleep_for(downTime);
        victim->fallSilentAtNextStart();
        if (!victim->start(firstReport))
            return 2;
        for (int waited = 0; !victim->isSilent() && waited < 600; ++waited)
            std::this_thread::sleep_for(milliseconds(1));
        hasMet = victim->isSilent();
        if (!hasMet) {
            victim->fallSilentAtNextStart(false);
            std::this_thread::sleep_for(milliseconds(8000));
            continue;
        }
        record.line("minion " + victim->id() + " is cut off from now on and works on");
        const auto cutUntil = Clock::now() + cutTime;
        const auto killedUntil = Clock::now() + killTime;
        for (std::size_t i = 0; i < cell.controls().size(); ++i) {
            if (cell.controls()[i].ip != leader.ip)
                continue;
            cell.control(i).kill(SIGKILL);
            record.line("the leader, core-" + std::to_string(i + 1) + ", is killed");
            std::this_thread::sleep_until(killedUntil);
            if (!cell.startControl(i, false))
                return 2;
        }
        std::this_thread::sleep_until(cutUntil);
        record.line("minion " + victim->id() + " is no longer cut off");
        victim->endSilence();
        isBroken = reportTwice(record, ledger.all());
    }
    if (!hasTrouble) {
        std::this_thread::sleep_for(milliseconds(8000));
        isBroken = reportTwice(record, ledger.all());
    }
    for (auto &minion : minions)
        minion->crash();
    if (!hasMet)
        record.line("no repeated start reached a new life");
    return isBroken ? 1 : hasMet ? 0 : 2;
}

} // namespace bed
