#pragma once

#include "jobs/orders.h"
#include "logging/logfield.h"
#include "logging/loglevel.h"

#include <functional>
#include <initializer_list>
#include <string_view>

namespace Pistachio::Wire
{
class JobCommand;
}

namespace Pistachio::Jobs
{

/// The services that the scheduler needs from its process. Each order is answered exactly once, through a call to the
/// scheduler.
class SchedulerPorts
{
public:
    SchedulerPorts() = default;
    SchedulerPorts(const SchedulerPorts &) = delete;
    SchedulerPorts &operator=(const SchedulerPorts &) = delete;
    virtual ~SchedulerPorts() = default;

    /// Proposes a command to the job group. Calls JobScheduler::proposalFailed() too if it is not appended.
    /// \param ended called with whether the command was applied; may be empty
    virtual void propose(Wire::JobCommand command, std::function<void(bool applied)> ended) = 0;
    virtual void start(const StartOrder &order) = 0;
    virtual void stop(const StopOrder &order) = 0;
    virtual void renewLease(const LeaseOrder &order) = 0;
    virtual void throttle(const ThrottleOrder &order) = 0;

    /// \return how many advice requests can be sent now without queueing.
    [[nodiscard]] virtual std::size_t idleAdviceClients() const = 0;
    virtual void askAdvice(const AdviceRequest &request) = 0;

    /// Logs a scheduling decision.
    virtual void logDecision(Logging::LogLevel level, std::string_view event,
                             std::initializer_list<Logging::LogField> fields)
        = 0;
};

} // namespace Pistachio::Jobs
