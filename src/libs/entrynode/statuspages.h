#pragma once

#include "transport/message.h"

#include <optional>
#include <string_view>

namespace Pistachio::Metrics
{
class Registry;
}

namespace Pistachio::Entrynode
{

/// \param request as received on the minions' or the internal port
/// \param obstacle why the entry is not ready, or empty
/// \return the answer to /healthz, /readyz and /metrics, nothing for other targets.
std::optional<Transport::Response> statusPage(const Transport::Request &request, std::string_view obstacle,
                                              const Metrics::Registry &metrics);

} // namespace Pistachio::Entrynode
