#pragma once

#include "core/time.h"
#include "jobs/taskname.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <utility>

class SimulatedMinion;

namespace Pistachio::Standin
{

/// Lets the members of gangs on simulated minions work only together: they wait for each other, end done together, and
/// end broken when one of them is gone.
class Gangs
{
public:
    /// \return the members of the gang of that step; 0: its tasks form no gang.
    using Size = std::function<std::uint32_t(const Jobs::StepName &step)>;

    explicit Gangs(Size size);

    /// To be called more often than tasks can end.
    void tick(TimePoint now, std::span<SimulatedMinion *const> minions);

private:
    struct Gang {
        TimePoint firstSeen{};
        TimePoint endsAt{}; ///< of the work of all members; zero while some are missing
    };

    const Size size_;
    std::map<std::pair<Jobs::StepName, std::uint64_t>, Gang> gangs_; ///< by step and run
};

} // namespace Pistachio::Standin
