#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>
#include <string>

namespace Pistachio::Soak
{

enum class FaultKind {
    KillControl,
    KillAllControls,
    StopControl, ///< SIGTERM
    FreezeControl, ///< SIGSTOP
    ReloadControl, ///< SIGHUP
    WipeControl, ///< killed, its data folder removed
    DamageTail, ///< killed, garbage behind the end of its log
    KillEntry,
    StopEntry,
    FreezeEntry,
    ReloadEntry,
    CutLink, ///< between two instances, both ways
    CutOneWay,
    SlowLink,
    ResetLink,
    CrashMinion,
    SilenceMinion,
    DrainMinion,
    NoAdvice,
    ReplaceControl, ///< killed for good, its data folder removed; an empty one starts at another address
    ReplacePlanned, ///< an empty one starts at another address first, then SIGTERM for good
};

constexpr std::size_t faultKinds = 21;

constexpr std::array<const char *, faultKinds> faultNames{
    "kill-control",           "kill-all-controls", "stop-control", "freeze-control", "reload-control",
    "wipe-control",           "damage-tail",       "kill-entry",   "stop-entry",     "freeze-entry",
    "reload-entry",           "cut-link",          "cut-one-way",  "slow-link",      "reset-link",
    "crash-minion",           "silence-minion",    "drain-minion", "no-advice",      "replace-control",
    "replace-control-planned"};

/// One fault of a run.
struct Fault {
    Duration at{}; ///< from the start of the faults
    Duration length{};
    FaultKind kind = FaultKind::KillControl;
    std::size_t target = 0;
    std::size_t other = 0; ///< the other end of a link, different from the target

    [[nodiscard]] std::string toString() const
    {
        return std::to_string(at / 1ms) + " ms: " + faultNames[static_cast<std::size_t>(kind)] + ' '
            + std::to_string(target) + '/' + std::to_string(other) + " for " + std::to_string(length / 1ms) + " ms";
    }
};

} // namespace Pistachio::Soak
