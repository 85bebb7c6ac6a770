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
    Wire::WorkerOrders orders; ///< with the boot ID and the sequence number of the sync
};

/// What the caller of the scheduler has to execute after an event.
struct Commands {
    std::vector<Wire::ZoneCommand> proposals; ///< for the replicated log of the zone, in this order
    std::vector<WorkerAnswer> answers;
    std::vector<DecisionRecord> decisions; ///< to be logged, one line each
};

} // namespace Pistachio::Scheduler
