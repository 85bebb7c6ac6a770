#pragma once

#include "pistachioctl/caller.h"

namespace Pistachio::Pistachioctl
{

/// Calls over TCP, one connection for each call.
class NetworkCaller : public Caller
{
public:
    /// \param timeout the limit of one call
    explicit NetworkCaller(Duration timeout);

    Transport::CallResult call(const Transport::Endpoint &endpoint, const Transport::Request &request) override;
    void pause(Duration span) override;

private:
    Duration timeout_;
};

} // namespace Pistachio::Pistachioctl
