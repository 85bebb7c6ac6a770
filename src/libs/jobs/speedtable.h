#pragma once

#include "core/time.h"

#include <map>
#include <string>

namespace Pistachio::Jobs
{

/// How fast the kinds of minions are, learned from the run times of tasks against what was expected.
class SpeedTable
{
public:
    /// Takes note of a task that was done in one run.
    void learn(const std::string &kind, Duration took, Duration expected);

    /// \return the mean run time in parts of what is expected; 1 while little is known.
    [[nodiscard]] double slowness(const std::string &kind) const;

private:
    struct Mean {
        double sum = 0;
        double weight = 0;
    };

    std::map<std::string, Mean> kinds_;
};

} // namespace Pistachio::Jobs
