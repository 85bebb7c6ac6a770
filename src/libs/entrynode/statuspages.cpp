#include "entrynode/statuspages.h"

#include "metrics/registry.h"

namespace Pistachio::Entrynode
{

namespace
{

Transport::Response plain(int status, std::string text)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(text)};
}

} // namespace

std::optional<Transport::Response> statusPage(const Transport::Request &request, std::string_view obstacle,
                                              const Metrics::Registry &metrics)
{
    if (request.target != "/healthz" && request.target != "/readyz" && request.target != "/metrics")
        return std::nullopt;
    if (request.method != "GET" && request.method != "HEAD")
        return plain(405, "only GET is served here\n");
    if (request.target == "/metrics")
        return plain(200, metrics.exposition());
    if (request.target == "/healthz" || obstacle.empty())
        return plain(200, "ok\n");
    return plain(503, "not ready: " + std::string(obstacle) + '\n');
}

} // namespace Pistachio::Entrynode
