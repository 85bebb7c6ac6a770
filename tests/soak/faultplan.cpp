#include "faultplan.h"

#include "core/random.h"

#include <algorithm>

namespace Pistachio::Soak
{

namespace
{

constexpr Duration shortestGap = 300ms;
constexpr std::uint64_t gapSpreadMs = 2500;
constexpr Duration shortestFault = 200ms;
constexpr std::uint64_t lengthSpreadMs = 5000;
/// An accepted job survives the loss of one disk of three only if the other two hold it.
constexpr Duration calmBeforeWipe = 5s;
constexpr Duration calmAfterWipe = 10s;

Duration upTo(RandomSource &random, std::uint64_t milliseconds)
{
    return std::chrono::milliseconds(random.below(milliseconds));
}

} // namespace

std::vector<Fault> planFaults(std::uint64_t seed, Duration span, const CellSize &size)
{
    RandomSource random(seed);
    std::vector<Fault> plan;
    Duration now{};
    Duration calmFrom{};
    while (true) {
        now += shortestGap + upTo(random, gapSpreadMs);
        if (now >= span)
            return plan;
        Fault fault;
        fault.at = now;
        fault.kind = static_cast<FaultKind>(random.below(faultKinds));
        fault.length = shortestFault + upTo(random, lengthSpreadMs);
        const auto instances = size.controls + size.entries;
        switch (fault.kind) {
        case FaultKind::KillControl:
        case FaultKind::KillAllControls:
        case FaultKind::StopControl:
        case FaultKind::FreezeControl:
        case FaultKind::ReloadControl:
        case FaultKind::WipeControl:
        case FaultKind::DamageTail:
            fault.target = random.below(size.controls);
            break;
        case FaultKind::KillEntry:
        case FaultKind::StopEntry:
        case FaultKind::FreezeEntry:
        case FaultKind::ReloadEntry:
            fault.target = size.controls + random.below(size.entries);
            break;
        case FaultKind::CutLink:
        case FaultKind::CutOneWay:
        case FaultKind::SlowLink:
        case FaultKind::ResetLink:
            fault.target = random.below(instances);
            fault.other = (fault.target + 1 + random.below(instances - 1)) % instances;
            break;
        case FaultKind::CrashMinion:
        case FaultKind::SilenceMinion:
        case FaultKind::DrainMinion:
            fault.target = random.below(size.minions);
            break;
        case FaultKind::NoAdvice:
            break;
        }
        if (fault.kind == FaultKind::WipeControl) {
            now = std::max(now, calmFrom + calmBeforeWipe);
            fault.at = now;
            now += fault.length + calmAfterWipe;
            if (now >= span)
                return plan;
        }
        calmFrom = std::max(calmFrom, fault.at + fault.length);
        plan.push_back(fault);
    }
}

} // namespace Pistachio::Soak
