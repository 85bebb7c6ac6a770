#pragma once

#include "core/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Pistachio::Jobs
{

/// The answers of the advice service for one step.
struct StepAdvice {
    struct Ticket {
        std::string text;
        TimePoint validUntil{};
    };

    std::map<std::string, Ticket> approved; ///< by minion
    std::set<std::string> denied;
    std::vector<std::string> requestedMinions; ///< minions named in the outstanding request
    TimePoint answeredAt{}; ///< when a request was first answered
    TimePoint failedAt{}; ///< when a request last failed

    /// \return whether the minion has a ticket that is valid at least until \p until.
    [[nodiscard]] bool hasTicket(const std::string &minion, TimePoint until) const
    {
        const auto found = approved.find(minion);
        return found != approved.end() && found->second.validUntil >= until;
    }
};

} // namespace Pistachio::Jobs
