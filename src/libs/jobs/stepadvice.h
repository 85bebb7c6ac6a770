#pragma once

#include "core/time.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Jobs
{

struct Minion;

/// The answers of the advice service for one step.
struct StepAdvice {
    /// The permission to run the step's tasks on a minion.
    struct Ticket {
        std::string minionId;
        Minion *minion = nullptr; ///< null: not known
        std::string text;
        TimePoint validUntil{};
    };

    std::vector<Ticket> approved; ///< by minion id
    std::set<std::string, std::less<>> denied;
    std::vector<std::string> requestedMinions; ///< minions named in the outstanding request
    TimePoint answeredAt{}; ///< when a request was first answered
    TimePoint failedAt{}; ///< when a request last failed

    /// \return the ticket for the minion, or null.
    [[nodiscard]] const Ticket *ticketFor(std::string_view minion) const
    {
        const auto found = std::ranges::lower_bound(approved, minion, {}, &Ticket::minionId);
        return found != approved.end() && found->minionId == minion ? &*found : nullptr;
    }
};

} // namespace Pistachio::Jobs
