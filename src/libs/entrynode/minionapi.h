#pragma once

#include "core/result.h"
#include "routing/minion.h"

#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Entrynode
{

/// \param body JSON of `POST /v1/minions`: id, service, address, and optionally slots, connections, slots_in_use
/// \return the announcement, or what is wrong with it.
Result<Routing::MinionAnnouncement> readAnnouncement(std::string_view body);

/// \param entries minions' addresses of the live entries of the zone
/// \return the JSON answer to an announcement.
std::string announcementAnswer(const std::vector<std::string> &entries);

} // namespace Pistachio::Entrynode
