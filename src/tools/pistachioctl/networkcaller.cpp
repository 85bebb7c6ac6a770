#include "pistachioctl/networkcaller.h"

#include "transport/eventloop.h"
#include "transport/httpclient.h"

#include <optional>
#include <thread>

namespace Pistachio::Pistachioctl
{

NetworkCaller::NetworkCaller(Duration timeout)
    : timeout_(timeout)
{
}

Transport::CallResult NetworkCaller::call(const Transport::Endpoint &endpoint, const Transport::Request &request)
{
    // A list of all bookings at the two-year scale takes about 4 MiB.
    constexpr std::size_t responseBytes = std::size_t{64} << 20;
    Transport::EventLoop loop;
    Transport::HttpClientLimits limits;
    limits.bodyBytes = responseBytes;
    Transport::HttpClient client(loop, limits);
    std::optional<Transport::CallResult> result;
    client.call(endpoint, request, timeout_, [&](Transport::CallResult outcome) {
        result = std::move(outcome);
        loop.stop();
    });
    loop.run();
    if (!result)
        return Transport::CallError{failure(ErrorCode::Io, "the call ended without a result"), true};
    return std::move(*result);
}

void NetworkCaller::pause(Duration span)
{
    std::this_thread::sleep_for(span);
}

} // namespace Pistachio::Pistachioctl
