#include "jobs/minionrecord.h"

#include "jobs/jobvalidation.h"
#include "jobs/orders.h"

#include <jobs.pb.h>

namespace Pistachio::Jobs
{

MinionReport toReport(const Wire::JobMinion &minion)
{
    MinionReport report;
    report.incarnation = {minion.id(), minion.born_unix_ms()};
    report.address = minion.address();
    report.service = minion.service();
    report.zone = minion.zone();
    report.milliCores = limitedAmount(minion.milli_cores());
    report.memoryMb = limitedAmount(minion.memory_mb());
    report.accelerators = limitedAmount(minion.accelerators());
    report.labels.assign(minion.labels().begin(), minion.labels().end());
    report.draining = minion.draining();
    return report;
}

Wire::JobMinion toWire(const MinionReport &report)
{
    Wire::JobMinion minion;
    minion.set_id(report.incarnation.id);
    minion.set_born_unix_ms(report.incarnation.bornUnixMs);
    minion.set_address(report.address);
    minion.set_service(report.service);
    minion.set_zone(report.zone);
    minion.set_milli_cores(report.milliCores);
    minion.set_memory_mb(report.memoryMb);
    minion.set_accelerators(report.accelerators);
    for (const auto &label : report.labels)
        minion.add_labels(label);
    minion.set_draining(report.draining);
    return minion;
}

} // namespace Pistachio::Jobs
