#pragma once

#include "core/time.h"

namespace Pistachio::Jobs
{
class JobScheduler;
}

namespace Pistachio::Logging
{
class Logger;
}

namespace Pistachio::Metrics
{
class Registry;
}

namespace Pistachio::Jobnode
{

/// Writes what each team has and waits for to the metrics and, at the leader, to the log. Reports at most 100 teams by
/// name, so that the number of labels is bounded.
class TeamReport
{
public:
    TeamReport(Logging::Logger &logger, Metrics::Registry &metrics);

    /// To be called regularly; reports when it is time to.
    void update(TimePoint now, const Jobs::JobScheduler &scheduler);

private:
    Logging::Logger &logger_;
    Metrics::Registry &metrics_;
    TimePoint nextMetrics_{};
    TimePoint nextLines_{};
};

} // namespace Pistachio::Jobnode
