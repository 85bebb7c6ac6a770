#pragma once

#include "core/taskid.h"

#include <cstdint>
#include <string>

namespace Pistachio::Scheduler
{

/// Why a task was placed, displaced, held or ended; written as one log line.
struct DecisionRecord {
    std::string action; ///< "assign", "displace", "stop", "throttle", "hold", "lost", "quarantine", ...
    TaskId task;
    std::uint64_t incarnation = 0;
    WorkerId worker;
    std::string policy; ///< "service", "batch", "gang" or empty
    double score = 0;
    std::uint32_t candidates = 0; ///< workers that were compared
    std::string reason;
};

} // namespace Pistachio::Scheduler
