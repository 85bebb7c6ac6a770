#pragma once

#include "jobs/schedulersettings.h"

namespace Pistachio::Settings
{
struct JobSettings;
}

namespace Pistachio::Jobnode
{

/// \return what the scheduler takes from the settings of its process.
[[nodiscard]] Jobs::SchedulerSettings schedulerSettings(const Settings::JobSettings &settings);

} // namespace Pistachio::Jobnode
