#pragma once

#include "pistachioctl/invocation.h"

/// One function for each verb.
namespace Pistachio::Pistachioctl
{

ExitCode checkSheet(const Invocation &invocation);
ExitCode diffSheet(const Invocation &invocation);
ExitCode applySheet(const Invocation &invocation);
ExitCode showSheet(const Invocation &invocation);
ExitCode listSheets(const Invocation &invocation);

ExitCode listBookings(const Invocation &invocation);
ExitCode showBooking(const Invocation &invocation);
ExitCode explainBooking(const Invocation &invocation);
ExitCode cancelBookings(const Invocation &invocation);

ExitCode listWorkers(const Invocation &invocation);
ExitCode drainWorker(const Invocation &invocation);
ExitCode resumeWorker(const Invocation &invocation);
ExitCode listInstances(const Invocation &invocation);
ExitCode addInstance(const Invocation &invocation);
ExitCode replaceInstance(const Invocation &invocation);
ExitCode showStatus(const Invocation &invocation);

ExitCode showConfiguration(const Invocation &invocation);
ExitCode applyConfiguration(const Invocation &invocation);
ExitCode checkSettings(const Invocation &invocation);

} // namespace Pistachio::Pistachioctl
