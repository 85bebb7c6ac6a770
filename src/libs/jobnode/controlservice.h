#pragma once

#include "jobs/orders.h"
#include "transport/message.h"

#include <functional>
#include <optional>
#include <string>

namespace Pistachio::Wire
{
class JobConfiguration;
class JobReply;
} // namespace Pistachio::Wire

namespace Pistachio::Jobnode
{

/// What a control instance does for minions and operators. All of it but reports is refused unless it leads the job
/// group.
class ControlService
{
public:
    ControlService() = default;
    ControlService(const ControlService &) = delete;
    ControlService &operator=(const ControlService &) = delete;
    virtual ~ControlService() = default;

    /// \return whether this instance can answer for the group.
    [[nodiscard]] virtual bool canAnswer() const = 0;

    /// Hands a request to the instance that leads as far as this one knows; there it comes out of onForwarded().
    /// \param answered gets its response; 503 when there is none
    virtual void forward(const Transport::Request &request, std::function<void(Transport::Response)> answered) = 0;

    /// \param handler answers requests that other instances forward
    virtual void onForwarded(Transport::RequestHandler handler) = 0;

    /// Takes a minion's report, whether this instance leads or not.
    /// \param stored gets whether what the report says is stored
    virtual void minionReported(const Jobs::MinionReport &report, std::function<void(bool stored)> stored) = 0;
    /// \return the address of the control instance that the minion should report to next; empty if it isn't known.
    [[nodiscard]] virtual std::string reportIp(const std::string &minion) const = 0;
    /// \param confirmed gets true once the minion may end, false if this instance doesn't lead
    virtual void minionLeft(const Jobs::MinionIncarnation &incarnation, std::function<void(bool confirmed)> confirmed)
        = 0;

    /// \param answered gets ACCEPTED once a configuration at least as new is in force
    virtual void configure(const Wire::JobConfiguration &configuration,
                           std::function<void(const Wire::JobReply &)> answered)
        = 0;

    /// \param answered gets the newest configuration as the operator sent it; nothing when it can't be known
    virtual void readConfiguration(std::function<void(std::optional<std::string> document)> answered) = 0;
};

} // namespace Pistachio::Jobnode
