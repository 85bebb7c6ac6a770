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

/// What the scheduler needs of the process around it. Every order is answered exactly once, through the scheduler.
class SchedulerPorts
{
public:
    SchedulerPorts() = default;
    SchedulerPorts(const SchedulerPorts &) = delete;
    SchedulerPorts &operator=(const SchedulerPorts &) = delete;
    virtual ~SchedulerPorts() = default;

    /// Proposes to the job group. A proposal that is not appended also comes back through proposalFailed().
    /// \param ended gets whether the command was applied; may be empty
    virtual void propose(Wire::JobCommand command, std::function<void(bool applied)> ended) = 0;
    virtual void start(const StartOrder &order) = 0;
    virtual void stop(const StopOrder &order) = 0;
    virtual void renewLease(const LeaseOrder &order) = 0;
    virtual void throttle(const ThrottleOrder &order) = 0;

    /// \return how many requests for advice can be made now without waiting for another.
    [[nodiscard]] virtual std::size_t idleAdviceClients() const = 0;
    virtual void askAdvice(const AdviceRequest &request) = 0;

    /// Writes a decision to the log.
    virtual void logDecision(Logging::LogLevel level, std::string_view event,
                             std::initializer_list<Logging::LogField> fields)
        = 0;
};

} // namespace Pistachio::Jobs
