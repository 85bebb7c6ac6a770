#include "jobs/stopreason.h"

namespace Pistachio::Jobs
{

std::string_view toString(StopReason reason)
{
    switch (reason) {
    case StopReason::None:
        return "none";
    case StopReason::JobEnded:
        return "job ended";
    case StopReason::TaskDone:
        return "task done";
    case StopReason::GangIncomplete:
        return "gang incomplete";
    case StopReason::Moved:
        return "moved";
    case StopReason::Preempted:
        return "preempted";
    case StopReason::Unlisted:
        return "unlisted";
    case StopReason::Orphan:
        return "orphan";
    case StopReason::StartNotConfirmed:
        return "start not confirmed";
    case StopReason::MinionLeaves:
        return "minion leaves";
    case StopReason::EarlierIncarnation:
        return "earlier incarnation";
    }
    return "none";
}

} // namespace Pistachio::Jobs
