#pragma once

#include "core/time.h"
#include "jobs/orders.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Jobs
{

/// Which minions may run which step, as the advice service said. The answer for a step never changes, but tickets
/// expire, so that they are asked for again.
class AdviceLedger
{
public:
    /// \return whether a request about the step is under way.
    [[nodiscard]] bool isAsking(const StepName &step) const;

    /// \return whether the minion may not run the step.
    [[nodiscard]] bool isDenied(const StepName &step, const std::string &minion) const;
    [[nodiscard]] bool isApproved(const StepName &step, const std::string &minion) const;

    /// \return a ticket that is valid until \p until at least.
    [[nodiscard]] std::optional<std::string> ticket(const StepName &step, const std::string &minion,
                                                    TimePoint until) const;

    /// \return the minions with a ticket that is valid until \p until at least.
    [[nodiscard]] std::vector<std::string_view> ticketHolders(const StepName &step, TimePoint until) const;

    /// \return the last time a request about the step was given up; nothing is asked for a moment after it.
    [[nodiscard]] TimePoint failedAt(const StepName &step) const;

    void asked(const AdviceRequest &request);
    void answered(TimePoint now, Duration validity, const StepName &step, std::span<const ApprovedMinion> approved);
    void failed(TimePoint now, const StepName &step);

    /// Forgets a ticket that a minion rejected.
    void rejected(const StepName &step, const std::string &minion);
    void forgetStep(const StepName &step) { steps_.erase(step); }
    void forgetMinion(const std::string &minion);
    void clear() { steps_.clear(); }

private:
    struct Ticket {
        std::string text;
        TimePoint validUntil{};
    };
    struct Knowledge {
        std::map<std::string, Ticket> approved;
        std::set<std::string> denied;
        std::vector<std::string> asking;
        TimePoint failedAt{};
    };

    std::map<StepName, Knowledge> steps_;
};

} // namespace Pistachio::Jobs
