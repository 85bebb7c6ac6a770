#pragma once

namespace Pistachio::Wire
{
class JobMinion;
}

namespace Pistachio::Jobs
{

struct MinionReport;

/// \return the minion as the book stores it, in the form of its report.
MinionReport toReport(const Wire::JobMinion &minion);

/// \return what the book stores of a report.
Wire::JobMinion toWire(const MinionReport &report);

} // namespace Pistachio::Jobs
