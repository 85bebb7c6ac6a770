#pragma once

namespace Pistachio::Wire
{
class JobMinion;
}

namespace Pistachio::Jobs
{

struct MinionReport;

/// \return the stored minion as a report.
MinionReport toReport(const Wire::JobMinion &minion);

/// \return the stored form of a report.
Wire::JobMinion toWire(const MinionReport &report);

} // namespace Pistachio::Jobs
