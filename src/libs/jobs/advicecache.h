#pragma once

#include "core/time.h"
#include "jobs/orders.h"
#include "jobs/stepadvice.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace Pistachio::Jobs
{

class Fleet;

/// Caches the advice service's answers on which minions may run a step. Approvals and denials stay valid for as long as
/// the step exists; tickets expire and are requested again.
class AdviceCache
{
public:
    /// \return the answers for the step so far; empty for an unknown step.
    [[nodiscard]] const StepAdvice &adviceFor(const StepName &step) const;

    /// \return a ticket that is valid at least until \p until, or nothing.
    [[nodiscard]] std::optional<std::string> ticket(const StepName &step, const std::string &minion,
                                                    TimePoint until) const;

    void recordRequest(const AdviceRequest &request);
    /// \param fleet the minions that the answer can name
    void recordAnswer(TimePoint now, Duration validity, const StepName &step, std::span<const ApprovedMinion> approved,
                      Fleet &fleet);
    void recordFailure(TimePoint now, const StepName &step);

    /// Marks a ticket as expired after a minion has rejected it.
    void invalidateTicket(const StepName &step, const std::string &minion);
    void removeStep(const StepName &step) { steps_.erase(step); }
    /// To be called before the minion is removed from the fleet, and for a new incarnation under its id.
    void removeMinion(const std::string &minion);
    void clear() { steps_.clear(); }

private:
    std::map<StepName, StepAdvice> steps_;
};

} // namespace Pistachio::Jobs
