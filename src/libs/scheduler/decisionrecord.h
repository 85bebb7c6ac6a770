#pragma once

#include "core/taskid.h"

#include <cstdint>
#include <string>

namespace Pistachio::Scheduler
{

/// A scheduling decision and its reason, written as one log line.
struct DecisionRecord {
    std::string action; ///< "assign", "displace", "stop", "throttle", "hold", "lost", "quarantine", ...
    TaskId task;
    std::uint64_t incarnation = 0; ///< see TaskEntry::incarnation; 0 if the decision names no assignment
    WorkerId worker;
    std::string policy; ///< "service", "batch", "gang" or empty
    double score = 0;
    std::uint32_t candidates = 0; ///< number of workers that were compared
    std::string reason;
};

} // namespace Pistachio::Scheduler
