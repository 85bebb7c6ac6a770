#pragma once

#include "core/random.h"
#include "core/resources.h"
#include "core/time.h"
#include "placement/work.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Pistachio::Replay
{

struct WorkerSpec {
    std::string id;
    std::string rack;
    Resources capacity;
};

struct Job {
    std::string id;
    std::string team;
    Placement::WorkKind kind = Placement::WorkKind::Batch;
    Placement::Standing standing = Placement::Standing::Normal;
    std::uint32_t tasks = 1;
    Resources resources;
    bool checkpoint = true;
    Duration arrival{};
    Duration declaredRun{};
    std::vector<Duration> runs; ///< of each task; empty: until stopped
};

/// One run of a cell: workers, booked work and the time of a rack's loss.
struct Workload {
    std::string name;
    unsigned packingPercent = 50;
    std::vector<WorkerSpec> workers;
    std::vector<Job> jobs; ///< by arrival
    Duration length{};
    Duration measureFrom{};
    Duration rackLoss{}; ///< zero: none
    std::string lostRack;
};

/// A night of Lindqvist Idrottsdiplom (packing first) or Tauhere Newcomers Co-operative (waiting time first): more
/// accelerator work than the night can hold, gangs, plain batch work, urgent single tasks and the loss of a rack.
Workload lindqvistNight(std::uint64_t seed);
Workload tauhereNight(std::uint64_t seed);

/// The two-year scale, or a part of it: 850 workers, 6,600 running tasks, a fifth of them services, 120 starts a
/// second. \param workers how many; the load is in proportion
Workload largeCell(std::uint64_t seed, std::uint32_t workers, Duration length, double load);

} // namespace Pistachio::Replay
