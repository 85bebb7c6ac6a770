#pragma once

#include "core/taskid.h"
#include "scheduler/decisionrecord.h"

#include <worker.pb.h>
#include <zone.pb.h>

#include <vector>

namespace Pistachio::Scheduler
{

/// The answer to the outstanding sync request of a worker.
struct WorkerAnswer {
    WorkerId worker;
    Wire::WorkerOrders orders; ///< names the boot id and the sequence of the sync it answers
};

/// What the scheduler wants done after an event.
struct Commands {
    std::vector<Wire::ZoneCommand> proposals; ///< for the zone log, in this order
    std::vector<WorkerAnswer> answers;
    std::vector<DecisionRecord> decisions; ///< for the log, one line each
};

} // namespace Pistachio::Scheduler
