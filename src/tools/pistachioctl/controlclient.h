#pragma once

#include "pistachioctl/caller.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Pistachio::Pistachioctl
{

/// What became of a request.
struct Reply {
    enum class Outcome : std::uint8_t {
        Answered, ///< the response is the cell's decision
        Unavailable, ///< nothing was changed
        Unknown, ///< a change may have been made
    };
    Outcome outcome = Outcome::Unavailable;
    Transport::Response response; ///< when answered
    std::vector<std::string> attempts; ///< "<address>: <what happened>", each once, for attempts without an answer
};

/// Sends requests to the control instances: tries the next one on failure, follows a named leader, and waits out the
/// election of a new one. A change is repeated only because its request id keeps the cell from making it twice.
class ControlClient
{
public:
    /// \param caller makes the calls; must outlive the client
    /// \param controls the operator ports to try, in this order
    ControlClient(Caller &caller, std::vector<Transport::Endpoint> controls);

    /// \param request the request, complete
    /// \return the answer, or why there is none.
    Reply send(const Transport::Request &request);

private:
    bool attempt(const Transport::Endpoint &endpoint, const Transport::Request &request, Reply &reply);
    bool attemptAndFollow(const Transport::Endpoint &endpoint, const Transport::Request &request, Reply &reply);

    Caller &caller_;
    std::vector<Transport::Endpoint> controls_;
    bool mayHaveChanged_ = false;
};

} // namespace Pistachio::Pistachioctl
