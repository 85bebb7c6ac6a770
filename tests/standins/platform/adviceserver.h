#pragma once

#include "jobs/taskname.h"
#include "transport/eventloop.h"
#include "transport/httpserver.h"

#include <string>

namespace Pistachio::Standin
{

/// The advice service: allows three of four minions for each step, always the same ones.
class AdviceServer
{
public:
    /// \param loop outlives the server
    /// \param validity of each ticket
    AdviceServer(Transport::EventLoop &loop, Duration validity);

    /// \return the port, or why the endpoint can't be used.
    Result<std::uint16_t> listen(const Transport::Endpoint &endpoint);

    /// While unavailable it answers 429.
    void setAvailable(bool isAvailable) { isAvailable_ = isAvailable; }

    /// \return whether the ticket was given for that step and minion and has not expired.
    [[nodiscard]] bool isValid(const Jobs::StepName &step, const std::string &minion, const std::string &ticket) const;

private:
    [[nodiscard]] static bool allows(const std::string &step, const std::string &minion);
    void answer(const Transport::Request &request, const Transport::Responder &responder);

    const Duration validity_;
    bool isAvailable_ = true;
    Transport::HttpServer server_;
};

} // namespace Pistachio::Standin
