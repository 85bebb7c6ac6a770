#pragma once

#include "core/time.h"
#include "jobs/taskname.h"

#include <map>
#include <string>

namespace Pistachio::Jobs
{

/// Predicts the run time of tasks from declared estimates and past run times.
///
/// Fits a linear regression on logarithms for each queue, as some queues' estimates are far more accurate than others'.
/// Tasks of one step have similar run times, so finished tasks of the step weigh more than the queue's regression.
class DurationModel
{
public:
    /// Adds the run time of a task that completed in one run.
    void learn(const std::string &queue, const StepName &step, Duration estimate, Duration took);

    /// \param estimate the declared run time; zero if none was declared
    /// \return the predicted run time; zero if nothing is known.
    [[nodiscard]] Duration expected(const std::string &queue, const StepName &step, Duration estimate) const;

    /// Removes the samples of an ended job's steps; its queue's regression is kept.
    void removeJob(const std::string &job);
    void clearSteps() { steps_.clear(); }

private:
    /// Decayed sums over the samples of a queue. x: log of the estimate; y: log of the run time over the estimate.
    struct Regression {
        double count = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
    };
    struct StepSamples {
        double count = 0;
        double logSum = 0; ///< of run times in ms
    };

    [[nodiscard]] double expectedLog(const std::string &queue, double estimateLog) const;

    std::map<std::string, Regression> queues_;
    std::map<StepName, StepSamples> steps_;
};

} // namespace Pistachio::Jobs
