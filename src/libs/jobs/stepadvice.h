#pragma once

#include "core/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Pistachio::Jobs
{

/// What the advice service has said about one step.
struct StepAdvice {
    struct Ticket {
        std::string text;
        TimePoint validUntil{};
    };

    std::map<std::string, Ticket> approved; ///< by minion
    std::set<std::string> denied;
    std::vector<std::string> requestedMinions; ///< minions that a request under way names
    TimePoint failedAt{}; ///< when a request was given up last

    /// \return whether the minion has a ticket that is valid until \p until at least.
    [[nodiscard]] bool hasTicket(const std::string &minion, TimePoint until) const
    {
        const auto found = approved.find(minion);
        return found != approved.end() && found->second.validUntil >= until;
    }
};

} // namespace Pistachio::Jobs
