#pragma once

namespace Pistachio::Jobs
{

/// The run time of tasks on a minion relative to that on a minion of speed 1.
struct SpeedEstimate {
    double slowness = 1; ///< of the minion; that of its kind while the difference is within the noise of run times
    double kindSlowness = 1;
    double samples = 0; ///< weight of the minion's own run times, in runs
};

} // namespace Pistachio::Jobs
