#include "entrynode/wireentries.h"

#include <entry.pb.h>

namespace Pistachio::Entrynode
{

Routing::EntryInfo toEntryInfo(const Wire::EntryInstance &instance)
{
    return {InstanceId(instance.id()), ZoneId(instance.zone()),
            instance.region().empty() ? instance.zone() : instance.region()};
}

Routing::PeerReport toPeerReport(const Wire::EntryAnnounce &announce)
{
    Routing::PeerReport report{toEntryInfo(announce.entry()), announce.draining(), {}};
    for (const Wire::ServiceLoad &load : announce.services())
        report.services.push_back({ServiceId(load.service()), load.free_slots(), load.queued()});
    return report;
}

} // namespace Pistachio::Entrynode
