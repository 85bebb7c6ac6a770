#pragma once

#include "jobs/taskname.h"
#include "transport/eventloop.h"
#include "transport/httpserver.h"

#include <set>
#include <string>
#include <vector>

namespace Pistachio::Standin
{

/// The advice service: allows about three of four minions for each step, always the same ones, and never fewer than a
/// given number, so that each step can run.
class AdviceServer
{
public:
    /// \param loop outlives the server
    /// \param validity of each ticket
    /// \param minions the ids of all
    /// \param fewestAllowed minions for a step
    AdviceServer(Transport::EventLoop &loop, Duration validity, std::vector<std::string> minions,
                 std::size_t fewestAllowed);

    /// \return the port, or why the endpoint can't be used.
    Result<std::uint16_t> listen(const Transport::Endpoint &endpoint);

    /// While unavailable it answers 429.
    void setAvailable(bool isAvailable) { isAvailable_ = isAvailable; }

    /// \return whether the ticket was given for that step and minion and has not expired.
    [[nodiscard]] bool isValid(const Jobs::StepName &step, const std::string &minion, const std::string &ticket) const;

    /// \return the minions that may run the step.
    [[nodiscard]] std::set<std::string> allowedMinions(const std::string &step) const;

private:
    void answer(const Transport::Request &request, const Transport::Responder &responder);

    const Duration validity_;
    const std::vector<std::string> minions_;
    const std::size_t fewestAllowed_;
    bool isAvailable_ = true;
    Transport::HttpServer server_;
};

} // namespace Pistachio::Standin
