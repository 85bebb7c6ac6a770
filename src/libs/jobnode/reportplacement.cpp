#include "jobnode/reportplacement.h"

#include "core/time.h"
#include "jobnode/fleetsize.h"
#include "jobnode/instanceid.h"
#include "replication/types.h"

#include <functional>

namespace Pistachio::Jobnode
{

namespace
{

constexpr Duration answerLimit = 1s; ///< an instance that is silent for longer takes no reports

} // namespace

std::optional<std::string> placeReports(const std::string &minion, std::size_t minions,
                                        std::span<const Replication::MemberStatus> members)
{
    std::optional<std::string> best;
    std::size_t highest = 0;
    for (const auto &member : members) {
        const bool answers = member.timeSinceAnswer && *member.timeSinceAnswer < answerLimit;
        if (!isLargeFleet(minions) || !answers)
            continue;
        std::string ip(ipOf(member.instance));
        const auto weight = std::hash<std::string>{}(std::string(ip).append(1, '@').append(minion));
        if (!best || weight > highest) {
            best = std::move(ip);
            highest = weight;
        }
    }
    return best;
}

} // namespace Pistachio::Jobnode
