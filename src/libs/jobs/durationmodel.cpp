#include "jobs/durationmodel.h"

#include <algorithm>
#include <cmath>

namespace Pistachio::Jobs
{

namespace
{
constexpr double sampleDecay = 0.998; ///< factor on the weight of earlier samples
constexpr double priorSamples = 5; ///< weight of the declared estimate, in samples
constexpr double priorSlopeSpread = 3; ///< weight of a slope of zero, in squared logarithms
constexpr double queuePriorSamples = 0.5; ///< weight of the queue's regression, in tasks of the step

double logMs(Duration duration)
{
    return std::log(std::max(1.0, static_cast<double>(duration / 1ms)));
}
} // namespace

void DurationModel::learn(const std::string &queue, const StepName &step, Duration estimate, Duration took)
{
    const double tookLog = logMs(took);
    auto &siblings = steps_[step];
    siblings.count += 1;
    siblings.logSum += tookLog;
    if (estimate <= Duration::zero())
        return;
    const double x = logMs(estimate);
    const double y = tookLog - x;
    auto &line = queues_[queue];
    line.count = line.count * sampleDecay + 1;
    line.x = line.x * sampleDecay + x;
    line.y = line.y * sampleDecay + y;
    line.xx = line.xx * sampleDecay + x * x;
    line.xy = line.xy * sampleDecay + x * y;
}

double DurationModel::expectedLog(const std::string &queue, double estimateLog) const
{
    const auto found = queues_.find(queue);
    if (found == queues_.end())
        return estimateLog;
    const auto &line = found->second;
    const double meanX = line.x / line.count;
    const double spread = std::max(0.0, line.xx - line.x * meanX);
    const double slope = (line.xy - line.y * meanX) / (spread + priorSlopeSpread);
    const double shift = line.y / (line.count + priorSamples);
    return estimateLog + shift + slope * (estimateLog - meanX);
}

Duration DurationModel::expected(const std::string &queue, const StepName &step, Duration estimate) const
{
    const auto siblings = steps_.find(step);
    if (estimate <= Duration::zero() && siblings == steps_.end())
        return Duration::zero();
    double expected = estimate > Duration::zero() ? expectedLog(queue, logMs(estimate)) : 0;
    if (siblings != steps_.end()) {
        const auto &seen = siblings->second;
        const double weight = estimate > Duration::zero() ? seen.count / (seen.count + queuePriorSamples) : 1;
        expected += weight * (seen.logSum / seen.count - expected);
    }
    return std::chrono::milliseconds(std::llround(std::exp(expected)));
}

void DurationModel::removeJob(const std::string &job)
{
    steps_.erase(steps_.lower_bound({job, 0, 0}), steps_.lower_bound({job + '\0', 0, 0}));
}

} // namespace Pistachio::Jobs
