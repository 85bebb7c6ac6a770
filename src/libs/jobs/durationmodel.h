#pragma once

#include "core/time.h"
#include "jobs/taskname.h"

#include <map>
#include <string>

namespace Pistachio::Jobs
{

/// How long tasks take, learned from their declared estimates and what tasks took so far.
///
/// For each queue it fits a line to the logarithms, since the estimates of some queues say little and those of others
/// much. Tasks of one step resemble each other, so the first ones that end count most for the others.
class DurationModel
{
public:
    /// Takes note of a task that was done in one run.
    void learn(const std::string &queue, const StepName &step, Duration estimate, Duration took);

    /// \param estimate as declared; zero: none
    [[nodiscard]] Duration expected(const std::string &queue, const StepName &step, Duration estimate) const;

    /// Forgets the steps of a job that has ended; what was learned of its queue stays.
    void removeJob(const std::string &job);
    void clearSteps() { steps_.clear(); }

private:
    /// Sums over the samples of a queue, older ones weighing less. x: log of the estimate, y: log of the ratio.
    struct Regression {
        double count = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
    };
    struct StepSamples {
        double count = 0;
        double logSum = 0; ///< of what they took, in ms
    };

    [[nodiscard]] double expectedLog(const std::string &queue, double estimateLog) const;

    std::map<std::string, Regression> queues_;
    std::map<StepName, StepSamples> steps_;
};

} // namespace Pistachio::Jobs
