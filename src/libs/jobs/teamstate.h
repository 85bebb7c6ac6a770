#pragma once

#include "core/time.h"
#include "jobs/minion.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Pistachio::Jobs
{

class TeamRates;
class TeamUsage;
class WorkQueue;

/// What a team has and waits for, for logs and metrics.
struct TeamState {
    std::string name;
    std::size_t waitingJobs = 0; ///< with a step that may start
    std::size_t runningJobs = 0;
    std::size_t runs = 0;
    std::uint64_t refused = 0; ///< jobs that this process refused
    double share = 0; ///< its weight among those of all teams with work
    ResourceAmounts held;
    ResourceAmounts cap; ///< -1: no limit; of several teams always -1
    Duration oldestWait{};
};

/// \param named how many teams are told apart; the others are summed up under the name "(others)"
/// \return the teams in a fixed order; nothing if there are none.
[[nodiscard]] std::vector<TeamState> teamStates(const TeamUsage &usage, const WorkQueue &queue, const TeamRates &rates,
                                                TimePoint now, std::size_t named);

} // namespace Pistachio::Jobs
