#include "jobnode/listenerlimits.h"

#include "metrics/registry.h"
#include "settings/clientlimits.h"

#include <string>

namespace Pistachio::Jobnode
{

Transport::HttpServerLimits listenerLimits(const Settings::ClientLimits &settings,
                                           const std::shared_ptr<Transport::MemoryBudget> &memory,
                                           std::size_t connections, std::size_t bodyBytes)
{
    Transport::HttpServerLimits limits;
    limits.headerBytes = settings.headerBytes;
    limits.trailerBytes = settings.trailerBytes;
    limits.chunkLineBytes = settings.chunkLineBytes;
    limits.bodyBytes = settings.bodyBytes == 0 ? bodyBytes : settings.bodyBytes;
    limits.pipelinedBytes = settings.pipelinedBytes;
    limits.connections = connections;
    limits.headerTimeout = settings.headerTimeout;
    limits.receiveTimeout = settings.receiveTimeout;
    limits.idleTimeout = settings.idleTimeout;
    limits.sendTimeout = settings.sendTimeout;
    limits.memory = memory;
    return limits;
}

void countRejections(Transport::HttpServer &server, Metrics::Registry &metrics, std::string_view listener)
{
    server.onRejected([&metrics, listener = std::string(listener)](int status, std::string_view reason) {
        constexpr int malformed = 400; // its reasons are the parser's
        const auto cause = status == malformed ? "malformed" : std::string(reason);
        metrics.add("requests_refused{listener=\"" + listener + "\",cause=\"" + cause + "\"}");
    });
}

} // namespace Pistachio::Jobnode
