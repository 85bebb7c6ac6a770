#pragma once

#include "routing/entryview.h"

namespace Pistachio::Wire
{
class EntryAnnounce;
class EntryInstance;
} // namespace Pistachio::Wire

namespace Pistachio::Entrynode
{

/// \return the entry; without a region its zone is a region of its own.
Routing::EntryInfo toEntryInfo(const Wire::EntryInstance &instance);

/// \return what the entry announced that it can take over.
Routing::PeerReport toPeerReport(const Wire::EntryAnnounce &announce);

} // namespace Pistachio::Entrynode
