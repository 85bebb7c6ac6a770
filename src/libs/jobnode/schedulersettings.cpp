#include "jobnode/schedulersettings.h"

#include "settings/jobsettings.h"

#include <algorithm>

namespace Pistachio::Jobnode
{

namespace
{
constexpr Duration readableMargin = 30s; ///< a change of leader does not shorten what callers are promised
}

Jobs::SchedulerSettings schedulerSettings(const Settings::JobSettings &settings)
{
    Jobs::SchedulerSettings result;
    result.lease = std::min(result.lease, settings.longestLease);
    result.longestLease = settings.longestLease;
    result.stopTimeout = settings.stopTimeout;
    result.finishedRetention = settings.finishedReadable + readableMargin;
    result.remotePenalty = settings.remotePenalty;
    result.reportInterval = settings.reportInterval;
    result.startLimit = std::min(settings.minionDrain, settings.gangTimeout);
    return result;
}

} // namespace Pistachio::Jobnode
