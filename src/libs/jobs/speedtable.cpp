#include "jobs/speedtable.h"

#include <algorithm>

namespace Pistachio::Jobs
{

namespace
{
constexpr double minSamples = 5; ///< single run times vary widely
constexpr double sampleDecay = 0.995; ///< weight factor of earlier samples; a change shows within a few hundred tasks
constexpr double maxRatio = 4; ///< limits the weight of a stalled task, which says little about the kind
} // namespace

void SpeedTable::learn(const std::string &kind, Duration took, Duration expected)
{
    if (expected <= Duration::zero())
        return;
    const double ratio = std::min(maxRatio, static_cast<double>(took.count()) / static_cast<double>(expected.count()));
    auto &mean = kinds_[kind];
    mean.sum = mean.sum * sampleDecay + ratio;
    mean.weight = mean.weight * sampleDecay + 1;
}

double SpeedTable::slowness(const std::string &kind) const
{
    const auto found = kinds_.find(kind);
    return found == kinds_.end() || found->second.weight < minSamples ? 1 : found->second.sum / found->second.weight;
}

} // namespace Pistachio::Jobs
