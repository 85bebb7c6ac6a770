#pragma once

#include "core/time.h"
#include "transport/message.h"

/// The operators' command line.
namespace Pistachio::Pistachioctl
{

/// Makes single HTTP calls; replaced in tests.
class Caller
{
public:
    virtual ~Caller() = default;

    /// \param endpoint the operator port of a control instance
    /// \param request what to send
    /// \return the response, or whether any of the request was written.
    virtual Transport::CallResult call(const Transport::Endpoint &endpoint, const Transport::Request &request) = 0;

    /// Waits before the next attempt.
    virtual void pause(Duration span) = 0;
};

} // namespace Pistachio::Pistachioctl
