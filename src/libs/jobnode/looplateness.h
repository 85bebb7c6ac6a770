#pragma once

#include "core/time.h"

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

/// Reports by how much the timers of the loop are late at most, as answers are then read late as well.
class LoopLateness
{
public:
    /// \param logger gets a line a second at most; outlives this
    /// \param metrics gets the gauge; outlives this
    LoopLateness(Logging::Logger &logger, Metrics::Registry &metrics);

    /// \param due when a timer was due
    /// \param now when its function is called
    void record(TimePoint due, TimePoint now);

private:
    Logging::Logger &logger_;
    Metrics::Registry &metrics_;
    Duration most_{}; ///< since the last report
    TimePoint nextReport_{};
};

} // namespace Pistachio::Jobnode
