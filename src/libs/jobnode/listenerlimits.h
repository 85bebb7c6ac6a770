#pragma once

#include "transport/httpserver.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace Pistachio::Metrics
{
class Registry;
}

namespace Pistachio::Settings
{
struct ClientLimits;
}

namespace Pistachio::Jobnode
{

inline constexpr std::size_t smallBodyBytes = std::size_t{64} << 10; ///< where requests have no body

/// \param settings what clients may send
/// \param memory shared by the listeners of the process
/// \param connections open at a time
/// \param bodyBytes of a request, if the settings don't tell
/// \return the limits of a listener.
Transport::HttpServerLimits listenerLimits(const Settings::ClientLimits &settings,
                                           const std::shared_ptr<Transport::MemoryBudget> &memory,
                                           std::size_t connections, std::size_t bodyBytes);

/// Counts what the server refuses and closes by itself, by cause.
/// \param server not listening yet
/// \param metrics outlives the server
/// \param listener the name of the listener
void countRejections(Transport::HttpServer &server, Metrics::Registry &metrics, std::string_view listener);

} // namespace Pistachio::Jobnode
