#pragma once

#include "core/time.h"

#include <map>
#include <string>

namespace Pistachio::Jobs
{

/// The relative speed of each kind of minion, learned from the run times of tasks relative to the expected ones.
class SpeedTable
{
public:
    /// Adds the run time of a task that completed in one run.
    void learn(const std::string &kind, Duration took, Duration expected);

    /// \return the mean ratio of run time to expected run time; 1 until there are enough samples.
    [[nodiscard]] double slowness(const std::string &kind) const;

private:
    struct Mean {
        double sum = 0;
        double weight = 0;
    };

    std::map<std::string, Mean> kinds_;
};

} // namespace Pistachio::Jobs
