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
    std::vector<Duration> runs; ///< run time of each task; empty when they run until stopped
};

/// The input of one replay: workers, jobs and the loss of a rack.
struct Workload {
    std::string name;
    unsigned packingPercent = 50;
    std::vector<WorkerSpec> workers;
    std::vector<Job> jobs; ///< by arrival
    Duration length{};
    Duration measureFrom{};
    Duration rackLoss{}; ///< time at which lostRack fails; zero for no failure
    std::string lostRack;
};

/// A night of Lindqvist Idrottsdiplom (mainly packing) or Tauhere Newcomers Co-operative (mainly waiting time): more
/// accelerator work than can run in the night, gangs, batch work without accelerators, urgent single tasks and the loss
/// of a rack.
Workload lindqvistNight(std::uint64_t seed);
Workload tauhereNight(std::uint64_t seed);

/// The size planned for in two years, or a part of it: 850 workers, 6,600 running tasks, a fifth of them services, and
/// 120 starts a second.
/// \param workers number of workers; services and starts are in proportion to it
/// \param load factor on the rate of starts
Workload largeCell(std::uint64_t seed, std::uint32_t workers, Duration length, double load);

} // namespace Pistachio::Replay
